package timing

import "time"

// keyRetentionWindows is the number of key windows for which a message's end is kept. A repeat that is sent within the
// window may be in transit for long after it, in a store that is frozen or while a place has no owner.
const keyRetentionWindows = 2

// KeyRetention returns how long the end of a message must be kept so that no repeat which is sent within a window of
// the first send is run again.
func KeyRetention(window time.Duration) time.Duration { return keyRetentionWindows * window }
