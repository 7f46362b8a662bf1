package status

import (
	"fmt"
	"strings"
)

// The texts of Protection.LimitedBy, which are for operators.

const textNoRecord = "control is not founded, or nobody answers"

// textMissingCopies is the text for a group that has too few copies to acknowledge anything.
func textMissingCopies(inSync, wanted int, lagging []uint64, name NameFunc) string {
	text := fmt.Sprintf("%d of the %d copies that an acknowledgement needs: nothing is acknowledged", inSync, wanted)
	if len(lagging) == 0 {
		return text + "; another machine is needed"
	}
	return text + " until " + names(lagging, name) + " caught up"
}

// textNotInSync is the text for a group that would tolerate more losses if its lagging replicas caught up.
func textNotInSync(lagging []uint64, name NameFunc) string {
	verb := "is"
	if len(lagging) > 1 {
		verb = "are"
	}
	return names(lagging, name) + " " + verb + " not in sync"
}

// textAllInSync is the text for a group whose replicas are all in sync.
func textAllInSync(copies int) string {
	return "all of " + plural(copies, "copy") + " in sync; more need more machines"
}

// textMajorityNeeded is the text for a group that would lose its majority of votes before its last copy.
func textMajorityNeeded(members int) string {
	return fmt.Sprintf("more than half of %s have to be left", plural(members, "member"))
}

func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	if strings.HasSuffix(noun, "y") {
		return fmt.Sprintf("%d %sies", count, strings.TrimSuffix(noun, "y"))
	}
	return fmt.Sprintf("%d %ss", count, noun)
}

func names(ids []uint64, name NameFunc) string {
	var all []string
	for _, id := range ids {
		all = append(all, name(id))
	}
	return strings.Join(all, ", ")
}
