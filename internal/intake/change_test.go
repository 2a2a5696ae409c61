package intake

import (
	"caperwheel/internal/config"
	"caperwheel/internal/wire"
)

// Change has an intake built by On learn of another configuration.
func Change(in *Intake, rules string) {
	in.configs.View.Take([]wire.PartNews{{From: 7, To: 8, Changes: []wire.Change{{Key: config.Key, Revision: 8, Value: []byte(rules)}}}}, in.d.Now())
}
