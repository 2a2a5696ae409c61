package timing

import "time"

// keyRetentionWindows is for how many windows of its operation key a message's end is kept. A repeat that is sent within the
// window may be under way for long after it: in a store that is frozen, or while a place has no owner.
const keyRetentionWindows = 2

// KeyRetention returns for how long the end of a message must be kept so that no repeat that is sent within a window of
// the first send runs again.
func KeyRetention(window time.Duration) time.Duration { return keyRetentionWindows * window }
