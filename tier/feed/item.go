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
	// SectionControl holds the members of control.
	SectionControl
	sectionPublicEnd
	// SectionRetirement holds the store machines that are to be emptied; it is not distributed.
	SectionRetirement
	// SectionEjection holds the hosts that are ejected for a time.
	SectionEjection
)

// isPublic tells whether a section is distributed.
func (s Section) isPublic() bool { return s < sectionPublicEnd || s == SectionEjection }

// isAny includes every section, the private ones too.
func (Section) isAny() bool { return true }

// Item is one piece of what was decided.
type Item struct {
	Section  Section
	Key      string
	Revision uint64 // that changed the item last
	Deleted  bool   // the item is a tombstone
	Data     []byte
}

func (i Item) key() itemKey { return itemKey{i.Section, i.Key} }

// isBefore orders items by revision and, within one, by section and key, so that the same view always has the same bytes.
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
