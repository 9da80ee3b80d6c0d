package simulation

import "time"

// evacuateZone evacuates a random zone for 2 to 9 s.
func evacuateZone(w *World) {
	w.evacuate(w.anyZone(), time.Duration(2000+w.random.IntN(7000))*time.Millisecond)
}

// raceOperators makes two to four operators replace the same version of the configuration at the same
// time, and does this three times in a row.
func raceOperators(w *World) {
	for range 3 {
		w.nextRevision(2 + w.random.IntN(3))
	}
}

// stormOfChanges makes operators change the configuration without a pause: it requests twelve revisions
// in a row, each while another operator evacuates a zone that does not exist and restores it 10 ms later.
func stormOfChanges(w *World) {
	for range 12 {
		w.outside.Go(func() { w.evacuate("nowhere-"+w.nonce(), 10*time.Millisecond) })
		w.nextRevision(1)
	}
}

// floodTraffic multiplies the rates of all requests by five for 1 to 3 s.
func floodTraffic(w *World) {
	long, short := w.long, w.short
	w.long, w.short = long*5, short*5
	w.wait(1000, 3000)
	w.long, w.short = long, short
}

// swingTraffic shifts the traffic to requests with long prompts for 2 to 4 s, and then to requests with
// short prompts for another 2 to 4 s.
func swingTraffic(w *World) {
	long, short := w.long, w.short
	w.long, w.short = long*1.8, short*0.3
	w.wait(2000, 4000)
	w.long, w.short = long*0.2, short*2
	w.wait(2000, 4000)
	w.long, w.short = long, short
}

// stopPlatform makes the platform's directory unavailable for 1 to 6 s.
func stopPlatform(w *World) {
	w.platform.down = true
	w.wait(1000, 6000)
	w.platform.down = false
}
