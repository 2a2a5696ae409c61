package wire

// ErrorKindOf returns the error kind that a reply carries; empty for none.
func ErrorKindOf(reply any) string {
	switch m := reply.(type) {
	case *Taken:
		return m.Kind
	case *OutcomeAck:
		return m.Kind
	case *QuotaGrants:
		return m.Kind
	case *Edited:
		return m.Kind
	}
	return ""
}
