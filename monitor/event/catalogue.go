package event

import (
	"slices"

	"github.com/rs/zerolog"
)

// catalogue holds the events in the order of their definition.
var catalogue []Event

// Start, reload and shutdown of the daemon.
var (
	Starting                = info(1001, "starting", "The daemon has read its settings and is starting.")
	Ready                   = info(1002, "ready", "The daemon accepts callers' requests.")
	WaitingForConfiguration = info(1003, "waiting-for-configuration", "The daemon has no configuration revision yet and refuses all requests as not run.")
	ShutdownRequested       = info(1101, "shutdown-requested", "A graceful shutdown was requested: the daemon accepts no new requests and finishes those in flight.")
	ShutdownDone            = info(1102, "shutdown-done", "All requests in flight are finished and the daemon exits.")
	ForcedShutdown          = warn(1103, "forced-end", "A second signal, or the end of the grace period, stopped the daemon with requests in flight.")
	Superseded              = failure(1104, "superseded", "Another daemon with the same id was started later, so this one exits at once. Give each daemon its own id.")
	Failed                  = failure(1201, "failed", "The daemon can't continue and exits with an error.")
	IncarnationRaised       = info(1107, "incarnation-raised", "The fleet holds a higher incarnation of this daemon, from an earlier start while its clock was ahead: the daemon adopts one above it.")
	SettingsReloaded        = info(1105, "settings-reloaded", "The settings were read again: the log level and the share and slack of the retry budget apply at once, all others at the next start.")
	SettingsRefused         = warn(1106, "settings-refused", "The changed settings are invalid: the daemon keeps those in use.")
	HandlerPanicked         = failure(1202, "handler-panicked", "A request handler panicked and its connection was closed, or a call of another daemon panicked and got an error. This is a bug in berylpass: report it with the stack.")
	LogLinesDropped         = warn(1303, "log-lines-dropped", "Log lines were dropped because they exceeded the rate limit or the output blocked; the lines field is their number.")
	CertificateLoaded       = info(1301, "certificate-loaded", "The certificate of the callers' port was read, at the start or after its file changed.")
	CertificateFailed       = warn(1302, "certificate-failed", "A changed certificate could not be read: the daemon keeps the one in use. Correct the files.")
)

// Limits of organisations.
var (
	SharesLost   = warn(2103, "shares-lost", "This daemon no longer holds a share of any limit: it is leaving, it is isolated, or other daemons hold them now.")
	LimitRefused = info(2201, "limit-refused", "A request was refused because it got no token of its organisation's limit; the fields give the holders asked and the tokens left here.")
	SharesHeld   = info(2104, "shares-held", "This daemon holds shares of limits and grants tokens from them.")
)

// Attempts.
var (
	GuardRefused     = warn(3001, "guard-refused", "The guard refused a forwarded request as not run; the reason field says why.")
	UnknownOutcome   = warn(3002, "unknown-outcome", "A request may or may not have run; the caller was answered with the outcome unknown.")
	AnswerDropped    = warn(3003, "answer-dropped", "An answer did not match its attempt: it was dropped and its connection closed.")
	RetryBudgetEmpty = info(3101, "retry-budget-empty", "This daemon has used up a service's retry budget: the service's requests get no retry or hedge for now.")
	RequestEnded     = info(3301, "request-ended", "The ingress has answered a caller's request; the fields give the outcome, its reason and the number of attempts.")
	AttemptEnded     = info(3302, "attempt-ended", "An attempt that the ingress sent to a guard has ended.")
	AttemptServed    = info(3303, "attempt-served", "The guard has ended an attempt: it ran, was refused as not run, or its outcome is unknown.")
	// Memory for requests and answers.
	LaggardClosed     = info(3311, "laggard-closed", "A connection was closed to make room in memory: of all that were behind the least pace, it was the farthest behind, or it had the longest unfinished head.")
	MemoryFull        = info(3312, "memory-full", "A request was refused as not run because there is no memory for it; the bytes field says how much it needs.")
	ConnectionEvicted = info(3313, "connection-evicted", "A caller's connection without a request was closed to make room for another, since as many are open as may be.")
	CallerRefused     = info(3201, "caller-refused", "A malformed request was refused; the reason field says why.")
)

// Choice of backend servers.
var (
	Ejected             = warn(4001, "ejected", "A backend server was ejected because it serves worse than its peers; the reason field says in what way.")
	Restored            = info(4002, "restored", "An ejected backend server gets requests again.")
	FloorHeld           = warn(4003, "floor-held", "A backend server would be ejected, but stays in use because its service must keep a minimum share of its healthy capacity in use.")
	BreakerOpened       = warn(4004, "left-alone", "The circuit breaker of the backend server on this daemon's VM opened: it gets only trial requests until they succeed.")
	BreakerClosed       = info(4005, "taken-back", "The circuit breaker of the backend server on this daemon's VM closed after successful trial requests: it gets all requests again.")
	QueueShed           = info(4201, "queue-shed", "A request was shed and refused as not run, for example because it could not finish in time; the reason field says why.")
	PathBroken          = warn(4301, "path-broken", "This daemon can't reach a member's data address and sends requests elsewhere.")
	PathMended          = info(4302, "path-mended", "A member's data address can be reached again.")
	RegionTraffic       = info(4501, "region-traffic", "The bytes that this daemon has exchanged with other regions since its start, over connections that it dialled, by kind of traffic.")
	SpillBegan          = info(4502, "spill-began", "The backend servers of a service in this region are full: light requests, and later heavy ones, go to another region, within this daemon's part of the link's share.")
	SpillEnded          = info(4503, "spill-ended", "The service has room in this region again; its requests stay here.")
	SpillKept           = warn(4504, "spill-kept", "Requests that another region could have served stayed in this one, or were refused, because this daemon's part of the link's share is used up; the settings' section regions states the share.")
	RolloutStep         = info(4401, "rollout-step", "This daemon conducts the roll-out of a service and has taken it to the step in the step field; the counts are requests sent since it took the order up.")
	RolloutRefused      = warn(4402, "rollout-refused", "The new version of a service is worse than the old one, as the reason field says, or another conductor found it so: it gets no more requests, and the order is rolled back.")
	RolloutCompleted    = info(4403, "rollout-completed", "The order is completed: only the new version of the service gets requests.")
	RolloutRolledBack   = warn(4404, "rollout-rolled-back", "The order is rolled back: its version never gets requests.")
	RolloutStateWritten = info(4405, "rollout-state-written", "The state of an order was written to the store.")
	RolloutStateFailed  = warn(4406, "rollout-state-failed", "The state of an order could not be written to the store, or the order has changed meanwhile: the daemon reads the order and tries again.")
)

// Members and backend servers.
var (
	BackendAnnounced    = info(5001, "backend-announced", "A backend server announced itself to the daemon on its VM.")
	BackendDraining     = info(5002, "backend-draining", "A backend server is draining: it finishes its requests and accepts no more.")
	BackendGone         = info(5003, "backend-gone", "A backend server has left or is dead.")
	AnnouncementRefused = warn(5004, "announcement-refused", "A backend server's announcement was malformed or not allowed; the reason field says why.")
	HeartbeatIgnored    = info(5005, "heartbeat-ignored", "A backend server's heartbeat was ignored: it is out of order, comes from a process that is gone, or names an unknown service.")
	DepartureNotKept    = warn(5006, "departure-not-kept", "A backend server left, and its departure could neither be stored nor copied to enough other daemons: it gets no new requests, and no acknowledgement.")
	DepartureNotStored  = warn(5008, "departure-not-stored", "A backend server left, and its departure could not be stored: the daemon has other daemons keep it, and tries again.")
	DeparturesUnread    = warn(5007, "departures-unread", "The stored departures of backend servers could not be read at the start; the daemon tries again.")
	DeparturesKnown     = info(5009, "departures-known", "The daemon has learnt which backend servers left before its start, and takes heartbeats from now on; timed-out says that neither store nor peers have answered in time.")
	MemberJoined        = info(5101, "member-joined", "A daemon joined the fleet.")
	MemberSuspect       = warn(5102, "member-suspect", "A daemon answers no probes, neither direct ones nor those sent through other members.")
	MemberDead          = warn(5103, "member-dead", "A suspect daemon did not refute the suspicion in time and was removed from the fleet.")
	MemberLeft          = info(5104, "member-left", "A daemon announced that it is leaving the fleet.")
	Isolated            = warn(5201, "isolated", "This daemon reaches neither the store nor enough members to know of withdrawn keys: until it does, it refuses requests on routes that need a key.")
	Rejoined            = info(5202, "rejoined", "This daemon is no longer isolated.")
)

// Admission by urgency.
var (
	LevelClosed = warn(4601, "level-closed", "A service has too little room: over half of the requests of this level of urgency, and of less urgent ones, are refused at once.")
	LevelOpened = info(4602, "level-opened", "Nearly all requests of this level of urgency are admitted to the service again.")
)

// Configuration and the platform's store.
var (
	RevisionApplied  = info(6001, "revision-applied", "A configuration revision is in force on this daemon.")
	RevisionRefused  = warn(6002, "revision-refused", "A configuration revision was refused because it is lower than the one in force or invalid; the reason field says which.")
	KeyWithdrawn     = info(6003, "key-withdrawn", "A caller's key was withdrawn; queued requests that came with it are refused.")
	DatacentreOut    = info(6004, "datacentre-out", "A data centre was taken out of service by configuration.")
	DatacentreBack   = info(6005, "datacentre-back", "A data centre is in service again by configuration.")
	StoreUnavailable = warn(6101, "store-unavailable", "The platform's store does not answer; the daemon continues with the configuration and members that it knows.")
	StoreBack        = info(6102, "store-back", "The platform's store answers again.")
	StoreCalled      = debug(6105, "store-called", "A call to the platform's store has ended.")
	ObjectUnreadable = warn(6104, "object-unreadable", "An object in the store, probably of another writer, can't be decoded: it is ignored, and all others are used.")
	StoreBehind      = warn(6103, "store-behind", "The store holds a lower revision than the one in force, as after the restore of a backup. It is ignored: publish the configuration again.")

	StoreEraRaised = warn(6301, "store-era-raised", "The platform's store has gone on from an older copy and may have lost what it had acknowledged; this daemon's record and the departures that it has acknowledged are written again.")
	OlderKept      = warn(6302, "older-configuration-refused", "The store has gone on from a copy with an older configuration than the one in force, which stays: write the configuration again. Until then requests that need a key are refused once the last proof is too old.")
	StoreRewritten = info(6303, "store-rewritten", "What the store had acknowledged to this daemon is being written again unless the store still has it.")
)

// Operators.
var (
	OperatorRequestRefused = warn(7002, "operator-request-refused", "A request on the operators' port was malformed or not allowed.")
)

// All returns every event, sorted by number.
func All() []Event {
	return slices.SortedFunc(slices.Values(catalogue), func(a, b Event) int { return a.Number - b.Number })
}

func debug(number int, name, meaning string) Event {
	return define(number, name, meaning, zerolog.DebugLevel)
}

func info(number int, name, meaning string) Event {
	return define(number, name, meaning, zerolog.InfoLevel)
}

func warn(number int, name, meaning string) Event {
	return define(number, name, meaning, zerolog.WarnLevel)
}

// failure defines an event of the error level.
func failure(number int, name, meaning string) Event {
	return define(number, name, meaning, zerolog.ErrorLevel)
}

// define adds an event to the catalogue and returns it.
func define(number int, name, meaning string, level zerolog.Level) Event {
	e := Event{Number: number, Name: name, Meaning: meaning, Level: level}
	catalogue = append(catalogue, e)
	return e
}
