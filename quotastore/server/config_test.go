package server

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// threeMembers is the part of a configuration file that lists the servers.
const threeMembers = `"keepers": [
	{"name": "a", "peer": "127.0.0.1:1", "door": "127.0.0.1:2", "zone": "z"},
	{"name": "b", "peer": "127.0.0.1:3", "door": "127.0.0.1:4", "leaving": true},
	{"name": "c", "peer": "127.0.0.1:5", "door": "127.0.0.1:6"}]`

func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "servers.json")
	writeFile(t, path, []byte(text))
	return path
}

func TestReadClusterConfigReadsAllKeys(t *testing.T) {
	servers := []MemberConfig{
		{Name: "a", PeerAddress: "127.0.0.1:1", CounterAddress: "127.0.0.1:2", Zone: "z"},
		{Name: "b", PeerAddress: "127.0.0.1:3", CounterAddress: "127.0.0.1:4", Leaving: true},
		{Name: "c", PeerAddress: "127.0.0.1:5", CounterAddress: "127.0.0.1:6"},
	}
	tests := map[string]struct {
		text string
		want ClusterConfig
	}{
		"defaults": {
			"{" + threeMembers + "}",
			ClusterConfig{Groups: 16, Replicas: 3, ReplaceAfter: 30, SnapshotRate: 4e6, MaxLogEntries: 4096, Members: servers},
		},
		"all keys": {
			`{"groups": 256, "copies": 1, "lost": 1.5, "rate": 10000, "log": 64,` + threeMembers + "}",
			ClusterConfig{Groups: 256, Replicas: 1, ReplaceAfter: 1.5, SnapshotRate: 1e4, MaxLogEntries: 64, Members: servers},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ReadClusterConfig(writeConfig(t, test.text))
			if err != nil || !reflect.DeepEqual(*got, test.want) {
				t.Errorf("read as %+v: %v", got, err)
			}
		})
	}
}

func TestReadClusterConfigRejectsInvalidFiles(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"not JSON":          {"{", "unexpected EOF"},
		"unknown key":       {`{"shards": 3,` + threeMembers + "}", `unknown field "shards"`},
		"no groups":         {`{"groups": 0,` + threeMembers + "}", "groups is 0"},
		"too many groups":   {`{"groups": 257,` + threeMembers + "}", "groups is 257"},
		"two copies":        {`{"copies": 2,` + threeMembers + "}", "copies is 2"},
		"short lost":        {`{"lost": 0.5,` + threeMembers + "}", "lost must be from 1"},
		"long lost":         {`{"lost": 86401,` + threeMembers + "}", "lost must be from 1"},
		"low rate":          {`{"rate": 9999,` + threeMembers + "}", "rate at least"},
		"short log":         {`{"log": 63,` + threeMembers + "}", "log from 64"},
		"long log":          {`{"log": 1048577,` + threeMembers + "}", "log from 64"},
		"too few members":   {`{"copies": 5,` + threeMembers + "}", "3 servers are listed"},
		"no name":           {strings.Replace("{"+threeMembers+"}", `"name": "b"`, `"name": ""`, 1), `server 1: name "" is empty`},
		"duplicate name":    {strings.Replace("{"+threeMembers+"}", `"name": "b"`, `"name": "a"`, 1), `server 1: name "a" is empty or used twice`},
		"no peer address":   {strings.Replace("{"+threeMembers+"}", `"peer": "127.0.0.1:3"`, `"peer": "b"`, 1), `server b: address "b"`},
		"no caller address": {strings.Replace("{"+threeMembers+"}", `"door": "127.0.0.1:6"`, `"door": ""`, 1), `server c: address ""`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			path := writeConfig(t, test.text)
			got, err := ReadClusterConfig(path)
			var configErr *ConfigError
			if !errors.As(err, &configErr) || configErr.Path != path || !strings.Contains(err.Error(), test.want) {
				t.Errorf("read as %+v: %v", got, err)
			}
		})
	}
	if _, err := ReadClusterConfig(filepath.Join(t.TempDir(), "missing")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: unexpected error %v", err)
	}
}
