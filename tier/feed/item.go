package feed

// Section groups items of one kind. Its number is part of an update's encoded form.
type Section uint8

// The sections of a view.
const (
	// SectionConfig holds the operator's configuration.
	SectionConfig Section = iota + 1
	// SectionHost holds the hosts of all services.
	SectionHost
	// SectionStore holds the store machines.
	SectionStore
	// SectionShard holds the shards of programs and their replicas.
	SectionShard
	// SectionControl holds the control processes that are members.
	SectionControl
	sectionPublicEnd
	// SectionRetirement holds the store machines that are being retired. It is not distributed.
	SectionRetirement
	// SectionEjection holds the hosts that are ejected temporarily.
	SectionEjection
)

// isPublic reports whether a section is distributed.
func (s Section) isPublic() bool { return s < sectionPublicEnd || s == SectionEjection }

// isExported reports whether Export includes a section. It includes all of them, also the private ones.
func (Section) isExported() bool { return true }

// Item is one entry of a view.
type Item struct {
	Section  Section
	Key      string
	Revision uint64 // revision that last changed the item
	Deleted  bool   // the item is a tombstone
	Data     []byte
}

func (i Item) key() itemKey { return itemKey{i.Section, i.Key} }

// isBefore orders items by revision, then by section and key, so that a view is always encoded to the same bytes.
func (i Item) isBefore(other Item) bool {
	if i.Revision != other.Revision {
		return i.Revision < other.Revision
	}
	if i.Section != other.Section {
		return i.Section < other.Section
	}
	return i.Key < other.Key
}

type itemKey struct {
	section Section
	key     string
}
