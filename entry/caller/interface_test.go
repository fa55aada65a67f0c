package caller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/admission"
	"github.com/godwitcross/godwitcross/fleet/dispatch"
	"github.com/godwitcross/godwitcross/fleet/refusal"
)

// A refusal without an explanation, or an explanation of a reason that is never sent,
// fails here.
func TestEveryReasonIsExplained(t *testing.T) {
	reasons := []admission.Reason{
		ReasonPath, ReasonService, ReasonTenant, ReasonMessage, ReasonDeadline, ReasonKey, ReasonKeyOther, ReasonTooLarge, ReasonBusy, ReasonStopped,
		dispatch.ReasonNotReady, dispatch.ReasonNoServer, dispatch.ReasonNoAnswer, dispatch.ReasonServersRefused, dispatch.ReasonServersUnreachable, dispatch.ReasonKeyUsed, dispatch.ReasonKeyUnproven,
		admission.ReasonTenantQuota, admission.ReasonQueueFull, admission.ReasonDeadlineTooNear, admission.ReasonExpired,
	}
	require.Len(t, refusal.All(), len(reasons), "an explanation for each reason and no others")
	for _, r := range reasons {
		_, ok := refusal.Explain(r)
		require.True(t, ok, r)
	}
}
