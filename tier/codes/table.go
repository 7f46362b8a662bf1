package codes

// Row is the entry of a code in Table, with its name and its meaning for operators.
type Row struct {
	Code    Code
	Name    string
	Meaning string
}

// Table lists all codes in ascending order.
var Table = []Row{
	{OK, "ok", "done"},
	{NotPrimary, "not-primary", "this process does not lead the group; ask where the primary is"},
	{Unavailable, "unavailable", "the group cannot decide now; try again"},
	{Timeout, "timeout", "no answer in time; whether it was done is not known"},
	{Malformed, "malformed", "a message between processes could not be read"},
	{WrongIdentity, "wrong-identity", "the address belongs to a process with another identity: the disk was lost or replaced"},
	{NoVote, "no-vote", "a witness that is no member of the group was asked to vote"},
	{PrimaryAlive, "primary-alive", "a takeover was refused because the primary is heard"},
	{ConfigInvalid, "config-invalid", "the configuration is invalid; the line says what and where"},
	{ConfigBase, "config-base", "another version is current than the one that the change builds on"},
	{ConfigNone, "config-none", "no configuration has been taken yet"},
	{ConfigForgotten, "config-forgotten", "a configuration so old that whether it was taken is no longer known"},
	{HostStale, "host-stale", "a heartbeat older than one already taken"},
	{RetireUnknown, "retire-unknown", "no store machine of that name is known"},
	{RetireTooFew, "retire-too-few", "too few store machines would remain"},
	{BudgetSpent, "budget-spent", "the program's budget does not hold the estimate; the turn is not run"},
	{TurnUnknown, "turn-unknown", "the turn named by Previous does not exist or is no longer kept"},
	{TurnSettled, "turn-settled", "the turn of that request id has been settled already"},
	{StoreFull, "store-full", "the stores have no room to keep the turn now; the turn is not run"},
	{NoRoute, "no-route", "no route matches the request"},
	{NoHost, "no-host", "no host of the service is known"},
	{HostsFull, "hosts-full", "all hosts asked said that they did not run the request"},
	{HostFailed, "host-failed", "a host broke off; the request may have run"},
	{RequestMalformed, "request-malformed", "the request cannot be read"},
	{BodyTooLarge, "body-too-large", "the body exceeds max_body_bytes"},
	{HeadTooLarge, "head-too-large", "the header exceeds max_header_bytes"},
	{NotReady, "not-ready", "the proxy has no configuration yet"},
	{StoreUnreachable, "store-unreachable", "no store answered for the program"},
	{DeadlineReached, "deadline-reached", "the client's deadline or the route's timeout was reached"},
	{ClientGone, "client-gone", "the client closed its connection"},
	{AnswerNotKept, "answer-not-kept", "the turn was served but could not be made durable; its answer is broken off"},
	{Stopping, "stopping", "the proxy is about to end; ask another one"},
	{Overloaded, "overloaded", "the process has no memory left for the request now; the request is not run"},
	{ResponseExcess, "response-excess", "a host sent more than its response may hold; the line names the host and says what it sent"},
	{DiskDamaged, "disk-damaged", "a file on disk is torn, cut or altered"},
	{DiskWrite, "disk-write", "a write or sync failed"},
	{DiskRegressed, "disk-regressed", "a member's disk holds less than it acknowledged: an older copy of it was put back"},
	{DiskForeign, "disk-foreign", "a disk, message or view belongs to another installation"},
	{DiskStalled, "disk-stalled", "writes have failed or waited for too long; the member gives its leads away"},
	{LinkBroken, "link-broken", "a connection between processes ended"},
	{LinkBusy, "link-busy", "a peer does not read; the connection was closed"},
	{SubscriptionStale, "subscription-stale", "the control process has not heard from the primary; subscribe elsewhere"},
}
