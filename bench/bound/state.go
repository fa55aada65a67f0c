package bound

// Targets of the letter.
const (
	controlBytes   = 14_000
	controlCore    = 0.014
	controlMemory  = 32 << 20
	inForceWithin  = 5_000
	appendsASecond = 400
)

// state are the bounds of state, membership and propagation.
var state = []Bound{
	{Figure: "node.all_bytes_per_second", High: controlBytes, Source: "letter, 14 KB a second per node for control"},
	{Figure: "heartbeats.most_bytes_per_second_at_9", High: controlBytes, Source: "letter, 14 KB a second per node for control"},
	{Figure: "heartbeats.most_bytes_per_second_at_72", High: controlBytes, Source: "letter, 14 KB a second per node for control"},
	{Figure: "heartbeats.most_bytes_per_second_at_500", High: controlBytes, Source: "letter, 14 KB a second per node for control"},
	{Figure: "heartbeats.false_suspicions_at_9", Source: "no host is suspected while nothing fails"},
	{Figure: "heartbeats.false_suspicions_at_72", Source: "no host is suspected while nothing fails"},
	{Figure: "propagation.relay_slowest_at_9", High: inForceWithin, Source: "letter, in force everywhere within 5 s"},
	{Figure: "propagation.relay_slowest_at_72", High: inForceWithin, Source: "letter, in force everywhere within 5 s"},
	{Figure: "propagation.relay_slowest_at_500", High: inForceWithin, Source: "letter, in force everywhere within 5 s"},
	{Figure: "return.most_calls_per_second_at_72", High: appendsASecond, Source: "brief, the log takes several hundred appends a second"},
	{Figure: "fold.share_of_core", High: controlCore, Source: "letter, 1.4% of a core per node for control"},
	{Figure: "process.share_of_core_at_8600", High: controlCore, Source: "letter, 1.4% of a core per node for control"},
	{Figure: "process.heap_at_8600", High: controlMemory, Source: "letter, 32 MB per node for control"},
	{Figure: "state.heap_of_fleet", High: controlMemory, Source: "letter, 32 MB per node for control"},
}
