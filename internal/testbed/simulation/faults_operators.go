package simulation

import "time"

// evacuateZone evacuates a zone for two to nine seconds.
func evacuateZone(w *World) {
	w.evacuate(w.anyZone(), time.Duration(2000+w.random.IntN(7000))*time.Millisecond)
}

// raceOperators makes concurrent operators change the configuration from the same version.
func raceOperators(w *World) {
	for range 3 {
		w.nextRevision(2 + w.random.IntN(3))
	}
}

// stormOfChanges makes many operators change the configuration without a pause.
func stormOfChanges(w *World) {
	for range 12 {
		w.outside.Go(func() { w.evacuate("nowhere-"+w.nonce(), 10*time.Millisecond) })
		w.nextRevision(1)
	}
}

// floodTraffic multiplies all traffic by five for a while.
func floodTraffic(w *World) {
	long, short := w.long, w.short
	w.long, w.short = long*5, short*5
	w.wait(1000, 3000)
	w.long, w.short = long, short
}

// swingTraffic sends mostly long prompts for a while, then mostly short chats.
func swingTraffic(w *World) {
	long, short := w.long, w.short
	w.long, w.short = long*1.8, short*0.3
	w.wait(2000, 4000)
	w.long, w.short = long*0.2, short*2
	w.wait(2000, 4000)
	w.long, w.short = long, short
}

// stopPlatform makes the platform's directory unreadable for a while.
func stopPlatform(w *World) {
	w.platform.down = true
	w.wait(1000, 6000)
	w.platform.down = false
}
