package feed

import "otterseam/tier/codec"

// Update contains items that changed, up to Revision.
type Update struct {
	ClusterID uint64 // cluster that the revisions belong to; 0 if not known yet
	Revision  uint64
	Snapshot  bool // Items is complete: the receiver deletes its other items
	Items     []Item
}

// minItemBytes is the encoded size of an item with an empty key and no data.
const minItemBytes = 1 + 4 + 8 + 1 + 4

// Encode returns the update's encoded form, which is the same on the wire and on disk.
func (u Update) Encode() []byte {
	var e codec.Encoder
	e.Uint64(u.ClusterID)
	e.Uint64(u.Revision)
	e.Bool(u.Snapshot)
	e.Uint32(uint32(len(u.Items)))
	for _, item := range u.Items {
		e.Uint8(uint8(item.Section))
		e.String(item.Key)
		e.Uint64(item.Revision)
		e.Bool(item.Deleted)
		e.Blob(item.Data)
	}
	return e.Bytes
}

// DecodeUpdate decodes an update.
func DecodeUpdate(message []byte) (Update, error) {
	d := codec.NewDecoder(message)
	u := Update{ClusterID: d.Uint64(), Revision: d.Uint64(), Snapshot: d.Bool()}
	for range d.Count(minItemBytes) {
		u.Items = append(u.Items, Item{
			Section: Section(d.Uint8()), Key: d.String(), Revision: d.Uint64(), Deleted: d.Bool(), Data: d.Blob(),
		})
	}
	return u, d.Err()
}
