package host

// Leveled is a machine whose commands depend on a feature level that its group has agreed on.
type Leveled interface {
	// Level returns the level that is agreed on or proposed. A replica that cannot apply it
	// never gets a vote.
	Level() int64
}

// neededBy returns what tells the feature level that a machine's group needs.
func neededBy(machine Machine) func() int64 {
	leveled, isLeveled := machine.(Leveled)
	if !isLeveled {
		return nil
	}
	return leveled.Level
}
