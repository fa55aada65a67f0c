package bound

// maxUrgentStart is the longest time until urgent work starts, in milliseconds.
const maxUrgentStart = 1100

// placement lists the bounds of job placement.
var placement = []Bound{
	{Figure: "placement.queued_jobs", Low: 200_000, High: 400_000, Source: "issue of the fleet: 200,000 queued jobs"},
	{Figure: "placement.urgent_start", Low: 0, High: maxUrgentStart, Source: "letter, The size to design for: urgent work starts within 1.1 s"},
	{Figure: "placement.urgent_unstarted", Low: 0, High: 0, Source: "letter, The size to design for: urgent work starts within 1.1 s"},
	{Figure: "placement.flood_urgent_start", Low: 0, High: maxUrgentStart, Source: "letter, The size to design for; brief, What fails: cancellations arrive in floods"},
	{Figure: "placement.flood_urgent_unstarted", Low: 0, High: 0, Source: "letter, The size to design for; brief, What fails: cancellations arrive in floods"},
	{Figure: "placement.teams_short_of_quota", Low: 0, High: 0, Source: "letter, The size to design for: 80 teams with quotas"},
	{Figure: "placement.overfull_workers", Low: 0, High: 0, Source: "brief, What must always hold: jobs find room"},
}
