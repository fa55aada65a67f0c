package bound

// requests lists the bounds of routing, admission and retries.
var requests = []Bound{
	{Figure: "requests.goodput", Low: 0.95, High: 1, Source: "goodput through the burst at least 95% of the slots' limit"},
	{Figure: "requests.urgent_wait_p99_of_deadline", Low: 0, High: 1, Source: "urgent p99 wait within its deadline"},
	{Figure: "requests.retries", Low: 0, High: 0.10, Source: "retries at most 10% of first sends"},
	{Figure: "requests.doubles", Source: "brief, a non-idempotent request runs at most once"},
	{Figure: "requests.false_not_run", Source: "brief, a refusal saying a request was not run is true"},
	{Figure: "requests.sent_to_leaving", Source: "brief, a leaving server receives no new work"},
	{Figure: "requests.faults.goodput", Low: 0.95, High: 1, Source: "goodput through the burst at least 95% of the slots' limit"},
	{Figure: "requests.faults.urgent_wait_p99_of_deadline", Low: 0, High: 1, Source: "urgent p99 wait within its deadline"},
	{Figure: "requests.faults.retries", Low: 0, High: 0.10, Source: "retries at most 10% of first sends"},
	{Figure: "requests.faults.doubles", Source: "brief, a non-idempotent request runs at most once"},
	{Figure: "requests.faults.false_not_run", Source: "brief, a refusal saying a request was not run is true"},
	{Figure: "requests.faults.sent_to_leaving", Source: "brief, a leaving server receives no new work"},
	{Figure: "requests.apart.goodput", Low: 0.95, High: 1, Source: "goodput through the burst at least 95% of the slots' limit"},
	{Figure: "requests.apart.urgent_wait_p99_of_deadline", Low: 0, High: 1, Source: "urgent p99 wait within its deadline"},
	{Figure: "requests.apart.retries", Low: 0, High: 0.10, Source: "retries at most 10% of first sends"},
	{Figure: "requests.apart.doubles", Source: "brief, a non-idempotent request runs at most once"},
	{Figure: "requests.apart.false_not_run", Source: "brief, a refusal saying a request was not run is true"},
	{Figure: "claims.log_doubles", Source: "brief, a non-idempotent request runs at most once"},
	{Figure: "growth.routing_ratio", Low: 0, High: maxGrowthRatio, Source: "a routing decision grows at most with the logarithm of the servers"},
	{Figure: "growth.admission_ratio", Low: 0, High: maxGrowthRatio, Source: "an admission decision grows at most with the logarithm of the servers"},
}

// maxGrowthRatio is the logarithm of 8,600 divided by the logarithm of 10.
const maxGrowthRatio = 3.93
