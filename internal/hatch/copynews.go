package hatch

import "seamloom.example/seamloom/internal/replication"

// CopyNews is what an expediter that is not primary says of the copy on its disk, to
// a courier that has no configuration in its life.
type CopyNews struct {
	Identity replication.Identity `msgpack:"identity"`
	Damaged  bool                 `msgpack:"damaged,omitempty"`
	// Menu is the version of the copy's configuration.
	Menu replication.Version `msgpack:"menu"`
	// Drawers are what a courier needs to serve, when it asked for this version.
	Drawers map[string]replication.Section `msgpack:"drawers,omitempty"`
}

// provisionalDrawers are those that a courier has from a copy. Orders and duties are
// not among them: they need a primary.
var provisionalDrawers = []string{replication.ConfigurationSection, replication.MembersSection, replication.FlagsSection}

// copyNews tells of the own copy, with its drawers if their version is the wanted one.
func (controller *Controller) copyNews(wanted replication.Version) *CopyNews {
	copied := controller.store.Copy()
	news := &CopyNews{Identity: controller.witness.Replica().Identity, Damaged: copied.Damage() != ""}
	sections := copied.Drawers()
	news.Menu = sections[replication.ConfigurationSection].Version
	if news.Damaged || wanted == (replication.Version{}) || news.Menu != wanted {
		return news
	}
	news.Drawers = map[string]replication.Section{}
	for _, name := range provisionalDrawers {
		if section, found := sections[name]; found {
			news.Drawers[name] = section
		}
	}
	return news
}

// elsewhere is the answer of an expediter that is not primary. The charter is read
// before the copy: a copy that the charter names is then no older than its grant.
func (controller *Controller) elsewhere(question NewsQuestion) NewsAnswer {
	answer := NewsAnswer{Charter: controller.coordinator.Charter()}
	if !question.Provisional {
		return answer
	}
	if question.Lists {
		answer.Servers = controller.provisionalServers(question.Wanted != (replication.Version{}))
	}
	answer.Copy = controller.copyNews(question.Wanted)
	return answer
}
