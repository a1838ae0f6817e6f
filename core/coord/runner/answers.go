package runner

import (
	"hash/fnv"

	"camphorridge/core/state/clock"
)

func unavailable(reason string) Answer {
	return Answer{Kind: AnswerUnavailable, RetryAfter: retryAfter, Reason: reason}
}

// overloaded returns the answer to a call that is refused because of the load. The
// delay differs between callers, so that they do not return all at once.
func overloaded(c *Call, reason string) Answer {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.Path))
	_, _ = h.Write([]byte(c.JobID))
	return Answer{Kind: AnswerOverloaded, RetryAfter: overloadRetryAfter + clock.Millis(h.Sum32())%overloadRetrySpread, Reason: reason}
}
