package admit

// retryBurst is the largest number of retry tokens of a customer. It prevents a
// burst of retries after a long time without any.
const retryBurst = 10

// AddRetryCredit adds the retry credit that a first attempt earns: RetryPercent
// hundredths of a token.
func (a *CustomerState[R]) AddRetryCredit() {
	a.RetryTokens = min(a.RetryTokens+float64(a.Limit.RetryPercent)/100, retryBurst)
}

// TakeRetry takes one token from the retry budget. It returns false if the budget
// is spent.
func (a *CustomerState[R]) TakeRetry() bool {
	if a.Limit.RetryPercent <= 0 || a.RetryTokens < 1 {
		return false
	}
	a.RetryTokens--
	return true
}
