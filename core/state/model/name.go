package model

// MaxNameBytes is the largest length of a name, in bytes.
const MaxNameBytes = 64

// ValidName reports whether s is a valid name of a customer, a pool, an instance, a
// zone, a rack or a process: 1 to MaxNameBytes ASCII letters, digits, '-' and '_',
// starting with a letter or digit. Names are used without escaping in paths,
// headers, files and metrics.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letterOrDigit := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letterOrDigit && (i == 0 || c != '-' && c != '_') {
			return false
		}
	}
	return true
}
