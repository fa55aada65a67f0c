package bound

// fleet lists the bounds of pools, budgets, maintenance waves and capacity.
var fleet = []Bound{
	{Figure: "wave.rollOutToLowerBound", Low: 0, High: 1.10, Source: "fleet issue: roll-out time at most 1.10 of the lower bound that the budget allows"},
	{Figure: "wave.hostsNotMaintainedIn4Weeks", Low: 0, High: 0, Source: "letter: every host maintained once in 4 weeks"},
	{Figure: "wave.rebootsRepeated", Low: 0, High: 0, Source: "fleet issue: no reboot is repeated"},
	{Figure: "wave.budgetOverruns", Low: 0, High: 0, Source: "brief, What must always hold: availability budget"},
	{Figure: "moves.toFewest", Low: 0, High: 1, Source: "fleet issue: a changed label moves the fleet with the fewest moves"},
	{Figure: "moves.rollOutToLowerBound", Low: 0, High: 1.10, Source: "fleet issue: roll-out time at most 1.10 of the lower bound that the budget allows"},
	{Figure: "moves.budgetOverruns", Low: 0, High: 0, Source: "brief, What must always hold: availability budget"},
	{Figure: "capacity.forecast.bufferToOracle", Low: 0, High: 1.25, Source: "fleet issue: buffer cost at most 1.25 of an oracle that knows the demand"},
}
