package admit

// retryBurst bounds the retries that a customer can save up, so that a long
// quiet time does not allow a burst of them.
const retryBurst = 10

// AddRetryCredit adds the part of a retry that a first try earns.
func (a *CustomerState[R]) AddRetryCredit() {
	a.RetryTokens = min(a.RetryTokens+float64(a.Limit.RetryPercent)/100, retryBurst)
}

// TakeRetry takes one retry from the budget, or reports that it is spent.
func (a *CustomerState[R]) TakeRetry() bool {
	if a.Limit.RetryPercent <= 0 || a.RetryTokens < 1 {
		return false
	}
	a.RetryTokens--
	return true
}
