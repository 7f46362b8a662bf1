package feed_test

import (
	"fmt"

	"otterseam/tier/feed"
)

// A copy gets everything once and then only what changed; deletions reach it too.
func Example() {
	source, copied := feed.NewView(), feed.NewView()
	source.Put(feed.SectionHost, "h1", 1, []byte("ready"))
	source.Put(feed.SectionHost, "h2", 2, []byte("ready"))
	fmt.Println(len(copied.Merge(source.Since(copied.Revision()))), "items at first")

	source.Put(feed.SectionHost, "h2", 3, []byte("draining"))
	source.Delete(feed.SectionHost, "h1", 4)
	for _, item := range copied.Merge(source.Since(copied.Revision())) {
		fmt.Println(item.Key, "deleted:", item.Deleted, string(item.Data))
	}
	// Output:
	// 2 items at first
	// h2 deleted: false draining
	// h1 deleted: true
}
