package membership

import (
	"testing"

	"otterseam/tier/consensus"
)

func founding(self uint64, heard ...uint64) BootstrapInput {
	f := BootstrapInput{Self: member(self), Candidates: map[string]consensus.Member{}}
	for _, id := range []uint64{1, 2, 3} {
		f.Seeds = append(f.Seeds, member(id).Address)
	}
	for _, id := range heard {
		f.Candidates[member(id).Address] = member(id)
	}
	return f
}

// The first of the seeds founds with all of them at once; others, and fewer, only after a wait; half of them never.
func TestWhoFounds(t *testing.T) {
	if all, may := founding(1, 2, 3).Members(); !may || len(all) != 3 {
		t.Fatalf("the first with all: %v %v", all, may)
	}
	if _, may := founding(2, 1, 3).Members(); may {
		t.Fatal("the second did not leave it to the first")
	}
	if _, may := founding(1, 2).Members(); may {
		t.Fatal("founded without waiting for the third")
	}
	waited := founding(2, 1)
	waited.WaitElapsed = true
	if two, may := waited.Members(); !may || len(two) != 2 {
		t.Fatalf("two of three after the wait: %v %v", two, may)
	}
	alone := founding(1)
	alone.WaitElapsed = true
	if _, may := alone.Members(); may {
		t.Fatal("one of three founded")
	}
}

func TestASingleSeedFoundsAlone(t *testing.T) {
	f := BootstrapInput{Self: member(1), Seeds: []string{member(1).Address}}
	if all, may := f.Members(); !may || len(all) != 1 {
		t.Fatalf("%v %v", all, may)
	}
}
