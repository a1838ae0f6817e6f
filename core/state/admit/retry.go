package admit

// retryBurst is the largest number of retry tokens of a customer. It limits the
// burst of retries after a long time without any.
const retryBurst = 10

// AddRetryCredit adds the retry credit that a first attempt earns: RetryPercent
// hundredths of a token.
func (cs *CustomerState[R]) AddRetryCredit() {
	cs.RetryTokens = min(cs.RetryTokens+float64(cs.Limit.RetryPercent)/100, retryBurst)
}

// TakeRetry takes one token from the retry budget. It returns false if the budget
// is spent.
func (cs *CustomerState[R]) TakeRetry() bool {
	if cs.Limit.RetryPercent <= 0 || cs.RetryTokens < 1 {
		return false
	}
	cs.RetryTokens--
	return true
}
