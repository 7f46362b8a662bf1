package feed_test

import (
	"fmt"

	"otterseam/tier/feed"
)

// A replica receives all items once and then only the changes, including deletions.
func Example() {
	source, replica := feed.NewView(), feed.NewView()
	source.Put(feed.SectionHost, "h1", 1, []byte("ready"))
	source.Put(feed.SectionHost, "h2", 2, []byte("ready"))
	fmt.Println(len(replica.Merge(source.Since(replica.Revision()))), "items at first")

	source.Put(feed.SectionHost, "h2", 3, []byte("draining"))
	source.Delete(feed.SectionHost, "h1", 4)
	for _, item := range replica.Merge(source.Since(replica.Revision())) {
		fmt.Println(item.Key, "deleted:", item.Deleted, string(item.Data))
	}
	// Output:
	// 2 items at first
	// h2 deleted: false draining
	// h1 deleted: true
}
