package programs_test

import (
	"fmt"

	"otterseam/tier/programs"
)

// A turn's estimate is reserved before the turn is sent, and its actual cost is settled afterwards. The next turn continues it.
func Example() {
	shard := programs.NewState()
	apply := func(command []byte) programs.Result { return shard.Apply(0, command).(programs.Result) }

	begin := programs.Begin{Request: "r1", Program: "p", Limited: true, Budget: 60, Estimate: 30}
	fmt.Println(apply(begin.Encode()).Code)
	apply(programs.End{Request: "r1", Program: "p", Actual: 24, Retain: true, RetentionMS: 60000, Input: []byte("hello "), Output: []byte("hi\n")}.Encode())

	next := programs.Begin{Request: "r2", Program: "p", Limited: true, Budget: 60, Estimate: 30, Previous: "r1"}
	result := apply(next.Encode())
	fmt.Printf("%v, continues %s", result.Code, result.Chain)
	fmt.Println()
	fmt.Println(apply(programs.Begin{Request: "r3", Program: "p", Limited: true, Budget: 60, Estimate: 30}.Encode()).Code)
	// Output:
	// code 0 ok
	// code 0 ok, continues [hello  hi
	// ]
	// code 301 budget-spent
}
