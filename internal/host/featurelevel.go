package host

// FeatureLeveled is a machine whose commands depend on a feature level that its group has agreed on.
type FeatureLeveled interface {
	// Level returns the level that is agreed on or proposed. A replica that cannot apply it gets no vote.
	Level() int64
}

// requiredLevel returns the function that reports the feature level that a machine's group requires; nil
// for none.
func requiredLevel(machine Machine) func() int64 {
	leveled, isLeveled := machine.(FeatureLeveled)
	if !isLeveled {
		return nil
	}
	return leveled.Level
}
