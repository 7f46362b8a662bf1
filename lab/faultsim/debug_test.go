package faultsim

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

func TestDebug(t *testing.T) {
	seed, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	if err != nil {
		t.Skip()
	}
	debug = func(text string, args ...any) { fmt.Printf(text+"\n", args...) }
	fmt.Printf("%+v\n", PlayControl(seed, controlOptions(seed)))
}
