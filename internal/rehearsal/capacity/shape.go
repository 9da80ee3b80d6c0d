package capacity

import (
	"strconv"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/formats"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/pass"
)

// districts are the zones of the fleet: four regions with eleven zones.
var districts = []string{"east-1", "east-2", "east-3", "west-1", "west-2", "west-3", "north-1", "north-2", "north-3", "south-1", "south-2"}

func districtOf(number int) string { return districts[number%len(districts)] }

// membersOf are the couriers of a fleet.
func membersOf(count int) []membership.Member {
	var members []membership.Member
	for number := range count {
		members = append(members, membership.Member{Name: "courier-" + strconv.Itoa(number+1), Kind: membership.Courier, Address: "10.1." + strconv.Itoa(number/250) + "." + strconv.Itoa(number%250+1) + ":7101",
			District: districtOf(number), Supported: formats.Supported(nil), Since: time.Unix(1_800_000_000, 0)})
	}
	return members
}

// ServersOf are the model servers of a fleet.
//
// Example:
//
//	servers := capacity.ServersOf(1100)
func ServersOf(count int) []membership.Server {
	var servers []membership.Server
	for number := range count {
		servers = append(servers, membership.Server{Name: "stove-" + strconv.Itoa(number+1), Address: "10.2." + strconv.Itoa(number/250) + "." + strconv.Itoa(number%250+1) + ":8000",
			District: districtOf(number), Service: modelOf(modelAt(number)), Part: string(partOf(number)), Models: []string{"model-" + strconv.Itoa(modelAt(number)+1)}, Slots: 16})
	}
	return servers
}

// modelAt is the model of a server: five servers in turn have the same, of which one
// reads prompts.
func modelAt(number int) int { return number / 5 % Base[Models] }

// partOf has every fifth server read prompts.
func partOf(number int) pass.Part {
	if number%5 == 0 {
		return pass.Prefill
	}
	return pass.Decode
}

// loadOf is a report of a server in the middle of its work, with the shared prefixes
// that it keeps.
func loadOf(number int) pass.Load {
	load := pass.Load{Server: "stove-" + strconv.Itoa(number+1), Incarnation: "5f0c7a52-7d0f-4f8e-9b53-1e0c1f8f5b" + strconv.Itoa(10+number%90), Part: partOf(number), Age: time.Hour,
		PrefillQueueTokens: (number * 977) % 9000, PrefillRate: 20_000, PrefillWaiting: number % 5, PrefillRoom: 12, DecodeActive: (number * 7) % 13, DecodeSlots: 16,
		PieceTime: 8 * time.Millisecond, MemoryFree: 200_000 - (number*3571)%120_000, MemoryTotal: 200_000, LinkRate: 400_000, Prefixes: map[string]int{}}
	for prefix := range 8 {
		load.Prefixes["zone-verdict-"+strconv.Itoa((number+prefix*3)%24)] = 1800
	}
	return load
}

func modelOf(number int) string { return "service-" + strconv.Itoa(number+1) }

// Configuration is that of a fleet with the sizes: a service for each model, a route
// for each tenant, and other routes.
//
// Example:
//
//	text := capacity.Configuration(sizes, 1)
func Configuration(sizes Sized, edition int) []byte {
	var text strings.Builder
	text.WriteString(`{"services":{`)
	for number := range sizes[Models] {
		if number > 0 {
			text.WriteString(",")
		}
		text.WriteString(`"` + modelOf(number) + `":{"limit_milliseconds":20000,"max_prompt_tokens":32000,"in_flight":512,"engine":{"slots":16,"memory_tokens":200000,"models":["model-` + strconv.Itoa(number+1) + `"]}}`)
	}
	text.WriteString(`,"edition":{}},"routes":{"edition-` + strconv.Itoa(1_000_000+edition) + `":{"order":0,"match":{"service":"edition"},"to":{"refuse":true}}`)
	for number := range sizes[Tenants] {
		text.WriteString(`,"tenant-` + strconv.Itoa(number+1) + `":{"order":5,"match":{"service":"` + modelOf(number%sizes[Models]) + `","origin":"tenant-` + strconv.Itoa(number+1) + `"},"to":{"home_first":true}}`)
	}
	for number := range sizes[Routes] {
		text.WriteString(`,"route-` + strconv.Itoa(number+1) + `":{"order":7,"match":{"service":"` + modelOf(number%sizes[Models]) + `","prefix":"prefix-` + strconv.Itoa(number+1) + `"},"to":{"home_first":true}}`)
	}
	text.WriteString(`,"all":{"order":9,"to":{"home_first":true}}}}`)
	return []byte(text.String())
}
