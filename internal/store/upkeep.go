package store

import (
	"context"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"k8s.io/klog/v2"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// maintain joins or bootstraps a deployment, watches disk and memory, and compacts the log.
func (s *Store) maintain(ctx context.Context) {
	go timing.Every(ctx, s.d.Bounds.Of(timing.JoinInterval), func() { s.bootstrapper.joinOrBootstrap(s.d.Now()) })
	timing.Every(ctx, s.d.Bounds.Of(timing.AnswerTimeout), func() {
		for _, who := range s.d.Membership.OfKind("adapter") {
			s.d.Node.Peer(wire.RunLink, who.Addr).EnsureConnected()
		}
		isFull := s.disk.IsDiskFull()
		if s.diskFull.Swap(isFull) != isFull {
			klog.Warningf("store: The disk is nearly full: %t; intake is rejected while it is.", isFull)
		}
		isLow := isMemoryLow(liveHeapBytes(), s.d.Settings.MemoryLimit)
		if s.isMemoryLow.Swap(isLow) != isLow {
			klog.Warningf("store: The memory is nearly used up: %t; intake is rejected while it is.", isLow)
		}
		if s.disk.Segments() > 4 {
			for _, id := range s.disk.GroupsHoldingSegments(s.groupIds()) {
				s.hostOf(id).Compact()
			}
		}
	})
}

// reportMissingStore tells all groups that a store's process has ended, because its address refuses connections.
func (s *Store) reportMissingStore(addr string) {
	for _, who := range s.d.Membership.OfKind("store") {
		if who.Addr != addr || who.Name == s.d.Who.Name {
			continue
		}
		for _, id := range s.groupIds() {
			s.hostOf(id).ReportStoreDown(who.Name)
		}
	}
}

// drain drains the store. The store remains a follower, with its disk, until its process ends, because owners go on
// sending it entries.
func (s *Store) drain(ctx context.Context) {
	drain := NewDrain(DrainOptions{Daemon: s.d, Hosts: s.heldHosts, Places: s.listPlaces})
	for ctx.Err() == nil && !drain.Step() {
		timing.Wait(ctx, s.d.Bounds.Of(timing.StalePoll))
	}
}

// ready reports whether the store is ready, and otherwise why it is not.
func (s *Store) ready() (bool, string) {
	switch {
	case !s.isOpen.Load():
		return false, string(errs.NotBootstrapped)
	case !s.d.IsFresh():
		return false, string(errs.Stale)
	}
	return true, ""
}

// placeOfId parses the place out of a message's id.
func (s *Store) placeOfId(id string) int64 {
	text, _, _ := strings.Cut(id, "-")
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// childId returns the id of a call-back message. It is derived from the parent's id, so it is the same on every store.
func (s *Store) childId(parent string) string {
	h := fnv.New32a()
	h.Write([]byte(parent))
	_, rest, _ := strings.Cut(parent, "-")
	return fmt.Sprintf("%d-c%s", h.Sum32()%uint32(s.d.Settings.Places), rest)
}
