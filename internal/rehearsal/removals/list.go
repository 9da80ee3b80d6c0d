package removals

const (
	second   = "one that may not be repeated runs twice"
	refused  = "it runs after the client was told it never would"
	spliced  = "pieces missing, doubled or spliced"
	memory   = "prompt memory of another, or twice"
	leaving  = "work to a leaving server"
	closed   = "work to an evacuated zone"
	inForce  = "an accepted configuration is not in force"
	back     = "a node goes back to an older configuration"
	losing   = "a refused or losing configuration takes effect"
	read     = "the read is older than what was accepted"
	tries    = "extra tries beyond a fifth"
	cold     = "a cold server is flooded"
	commands = "two nodes command one server"
	formats  = "a new format before every member reads it"
	returns  = "service does not return"
	held     = "a given-up inquiry is held back"
)

// All lists the protections, with the test that guards each.
var All = []Removal{
	{Name: "an inquiry is claimed before its dispatch", Never: second, Worlds: true, Finds: "no second run",
		Edits: []Edit{{"internal/pass/desk.go", "	if !settled.Repeatable {\n		entry.stage = claiming", "	if false {\n		entry.stage = claiming"}}},
	{Name: "a claim is taken once", Never: second, Worlds: true, Finds: "no second run",
		Edits: []Edit{{"internal/larder/changes.go", `return trouble.New(trouble.Duplicate, "taken by "`, `_ = trouble.New(trouble.Duplicate, "taken by "`}}},
	{Name: "no second run unless the server certainly did not start", Never: second, Worlds: true, Finds: "no second run",
		Edits: []Edit{{"internal/pass/dispatch.go", "if !entry.inquiry.Repeatable && entry.everRan {", "if false {"}}},
	{Name: "an order to a server carries a token", Never: second, Worlds: true, Finds: "no second run",
		Edits: []Edit{{"internal/hatch/decisions.go", "	token := courier.nonce()\n", "	token := \"\"\n"}}},
	{Name: "a passing-on is taken once, by the process it is meant for", Never: refused, Package: "./internal/hatch", Test: "TestPassingOnIsTakenOnce",
		Edits: []Edit{{"internal/hatch/courier.go", "	return courier.passages.first(courier.turns.Now(), passage.Nonce)\n", "	return true\n"}}},
	{Name: "an id that is taken is not said to have never run", Never: refused, Package: "./internal/hatch", Test: "TestTakenIDIsNotSaidToHaveNeverRun",
		Edits: []Edit{{"internal/hatch/replyline.go", "if decision.Cause != trouble.Duplicate {", "if true {"}}},
	{Name: "what is started but unknown is not called refused", Never: refused, Worlds: true, Finds: "refused means it never runs",
		Edits: []Edit{{"internal/pass/ending.go", "	case !entry.everRan && !entry.started:\n", "	case true:\n"}}},
	{Name: "the limit and hold are looked at when the first byte leaves", Never: refused, Package: "./internal/adapters/stove", Test: "TestOrderThatWaitedTooLongDoesNotLeave",
		Edits: []Edit{{"internal/adapters/stove/guardedbody.go", "		if !body.may() {", "		if false {"}}},
	{Name: "nothing is dispatched past its limit", Never: refused, Package: "./internal/pass", Test: "TestNothingIsDispatchedPastItsLimitOrWithoutAHold",
		Edits: []Edit{{"internal/pass/dispatch.go", "	if !now.Before(inquiry.Limit) {\n		return desk.giveUp(now, shard, entry, trouble.LimitPassed)\n	}\n	holdEnds := desk.ServesUntil()\n	if !now.Before(holdEnds) {\n		return desk.awaitHold(now, shard, entry, ready)", "	holdEnds := desk.ServesUntil()\n	if !now.Before(holdEnds) {\n		return desk.awaitHold(now, shard, entry, ready)"}}},
	{Name: "a stream ends when a piece is not the next", Never: spliced, Package: "./internal/pass", Test: "TestStreamIsNeverSpliced",
		Edits: []Edit{{"internal/pass/desk.go", "	if piece != entry.pieces+1 {", "	if false {"}}},
	{Name: "no second run after the first piece", Never: spliced, Worlds: true, Finds: "replies are whole",
		Edits: []Edit{{"internal/pass/desk.go", "	if entry.pieces > 0 {\n		return desk.finish(now, shard, entry, Failed, trouble.ServerFailed)\n	}\n	entry.tried[server] = true\n	switch outcome {", "	entry.pieces = 0\n	entry.tried[server] = true\n	switch outcome {"}}},
	{Name: "late news of an older run is passed over", Never: spliced, Package: "./internal/pass", Test: "TestLateNewsOfAnOlderRun",
		Edits: []Edit{{"internal/pass/desk.go", "if !found || (run >= 0 && entry.run != run) {", "if !found {"}}},
	{Name: "a handle belongs to its run", Never: memory, Package: "./internal/pass", Test: "TestHandleIsUsedByItsOwnRun",
		Edits: []Edit{{"internal/pass/dispatch.go", "entry.bid, entry.stage, entry.handle = bid, prefilling, \"\"", "entry.bid, entry.stage = bid, prefilling"}, {"internal/pass/desk.go", "		entry.everRan, entry.started, entry.handle = true, false, handle\n", "		entry.everRan, entry.started = true, false\n		if entry.handle == \"\" {\n			entry.handle = handle\n		}\n"}}},
	{Name: "a dark server ends what may not be repeated", Never: held, Package: "./internal/pass", Test: "TestDarkServerEndsWhatMayNotBeRepeated",
		Edits: []Edit{{"internal/pass/ending.go", "		if desk.market.reports(now, stall.server) {", "		if true {"}}},
	{Name: "an inquiry waits two seconds for a hold and no longer", Never: held, Package: "./internal/pass", Test: "TestGivenUpInquiryIsAnsweredAtOnce",
		Edits: []Edit{{"internal/pass/dispatch.go", "	if now.Sub(entry.holdless) > holdPatience {", "	if false {"}}},
	{Name: "a claim is tried for three seconds and no longer", Never: held, Worlds: true, Finds: "answered at once", Flags: []string{"--count", "1500"},
		Edits: []Edit{{"internal/hatch/decisions.go", "	ends := courier.turns.Now().Add(claimTime)\n", "	ends := courier.turns.Now().Add(time.Minute + claimTime)\n"}}},
	{Name: "a server that is listed as leaving gets nothing", Never: leaving, Worlds: true, Finds: "leaving server",
		Edits: []Edit{{"internal/pass/stall.go", "|| current.load.Leaving || stall.server.Leaving {", "{"}}},
	{Name: "a server that does not report gets nothing", Never: leaving, Package: "./internal/pass", Test: "TestServerWithoutAFreshReportIsOfferedNothing",
		Edits: []Edit{{"internal/pass/stall.go", "now.Sub(current.at) > reportFresh || ", ""}}},
	{Name: "no work goes to an evacuated district", Never: closed, Worlds: true, Finds: "evacuated zone",
		Edits: []Edit{{"internal/pass/program.go", "return !program.evacuations[server.District] && (", "return ("}}},
	{Name: "a courier lets in only under a hold", Never: closed, Worlds: true, Finds: "an accepted configuration is in force",
		Edits: []Edit{{"internal/pass/desk.go", "	if program == nil || !now.Before(desk.ServesUntil()) {", "	if program == nil {"}}},
	{Name: "a change is accepted when every courier has it", Never: inForce, Worlds: true, Finds: "an accepted configuration is in force",
		Edits: []Edit{{"internal/hatch/edit.go", "	if !expediter.awaitInForce(current, version) {", "	if current == nil {"}}},
	{Name: "a new primary honours the old one's holds", Never: inForce, Worlds: true, Finds: "an accepted configuration is in force", Flags: []string{"--count", "1500"},
		Edits: []Edit{{"internal/rota/holds.go", "	if now.Before(holds.since.Add(holds.terms.Hold + holds.terms.Drift)) {", "	if false {"}}},
	{Name: "a grant looks at the configuration again", Never: inForce, Package: "./internal/hatch", Test: "TestGrantSeesAConfigurationThatComesMeanwhile",
		Edits: []Edit{{"internal/hatch/counter.go", "if latest.VersionOf(larder.MenuDrawer) == answer.Menu {", "if true {"}}},
	{Name: "a hold confirms the version in force", Never: inForce, Package: "./internal/pass", Test: "TestHoldOfAnotherVersionLetsNothingIn",
		Edits: []Edit{{"internal/pass/desk.go", "if program == nil || program.epoch != epoch || program.number != number {", "if program == nil {"}}},
	{Name: "an older configuration is passed over", Never: back, Package: "./internal/pass", Test: "TestConfigurationInForceNeverGoesBack",
		Edits: []Edit{{"internal/pass/desk.go", "if current != nil && (program.epoch < current.epoch || program.number <= current.number) {", "if false {"}}},
	{Name: "an older primary's news is passed over", Never: back, Package: "./internal/hatch", Test: "TestFollowerPassesOlderNewsOver",
		Edits: []Edit{{"internal/hatch/follower.go", "if drawer.Version.Before(follower.drawers[name].Version) {", "if drawer.Version.Before(follower.drawers[name+\"?\"].Version) {"}, {"internal/hatch/follower.go", "if answer.Menu.Before(follower.drawers[larder.MenuDrawer].Version) {", "if false {"}}},
	{Name: "a change of a configuration is checked by its checksum", Never: back, Package: "./internal/hatch", Test: "TestFollowerAsksAnewWhenADeltaDoesNotFit",
		Edits: []Edit{{"internal/hatch/delta.go", "crc32.Checksum(content, deltaTable) == delta.Checksum", "true"}}},
	{Name: "a change names the version that it changes", Never: losing, Worlds: true, Finds: "reads are never older",
		Edits: []Edit{{"internal/larder/changes.go", "if expected != nil && *expected != menuVersion {", "if false {"}}},
	{Name: "a configuration is checked before it is taken", Never: losing, Package: "./internal/larder", Test: "TestConfigurationIsCheckedBeforeItIsTaken",
		Edits: []Edit{{"internal/larder/preparedmenu.go", "		_, failure = menu.Check(edited)", "		_, _ = menu.Check(edited)"}}},
	{Name: "a write is synced on the backup before its answer", Never: read, Worlds: true, Finds: "reads are never older",
		Edits: []Edit{{"internal/hatch/expediter.go", "	if backup != nil || own != nil {", "	if own != nil {"}}},
	{Name: "a write is synced on the primary before its answer", Never: read, Package: "./internal/hatch", Test: "TestAnswerWaitsForBothDisks",
		Edits: []Edit{{"internal/hatch/expediter.go", "	if backup != nil || own != nil {", "	if backup != nil {"}}},
	{Name: "the folder is synced after the rename", Never: read, Worlds: true, Finds: "",
		Edits: []Edit{{"internal/adapters/pantry/folder.go", "return trouble.Wrap(trouble.Disk, folder.disk.SyncFolder(folder.path))", "return nil"}}},
	{Name: "only a copy in sync takes over", Never: read, Worlds: true, Finds: "reads are never older",
		Edits: []Edit{{"internal/larder/standing.go", "	if !charter.InSync(own.Identity) || steward.store", "	if steward.store"}, {"internal/larder/standing.go", "		if !base.InSync(own.Identity) {\n			return base, false\n		}\n", ""}}},
	{Name: "a damaged copy does not stand", Never: read, Package: "./internal/larder", Test: "TestCopyKeepsOneFileForEachVersionStillNeeded",
		Edits: []Edit{{"internal/larder/copy.go", "			copied.damage = fmt.Sprintf(\"the file of version", "			_ = fmt.Sprintf(\"the file of version"}}},
	{Name: "a blank disk is a new identity", Never: read, Worlds: true, Finds: "",
		Edits: []Edit{{"internal/larder/keeper.go", "	keeper.note = keeperNote{Identity: fresh,", "	fresh = Identity(seat.Address)\n	keeper.note = keeperNote{Identity: fresh,"}}},
	{Name: "a keeper holds still for the primary that it confirmed", Never: read, Package: "./internal/larder", Test: "TestAcceptedWritesSurviveAndOnePrimaryAnswers",
		Edits: []Edit{{"internal/larder/keeper.go", "	case now.Before(keeper.holdEnds) && keeper.holder != candidate:", "	case false:"}, {"internal/larder/keeper.go", "	if now.Before(keeper.holdEnds) && keeper.holder != candidate {", "	if false {"}, {"internal/larder/standing.go", "hello.HoldLeft == 0 && !hello.Leads {", "true {"}}},
	{Name: "a backup refuses a deposed primary", Never: read, Package: "./internal/larder", Test: "TestBackupRefusesAnOlderEpoch",
		Edits: []Edit{{"internal/larder/keeper.go", "	if epoch < keeper.note.Promised {\n		return trouble.New(trouble.OldEpoch, fmt.Sprintf(\"epoch %d is promised\", keeper.note.Promised))\n	}\n	if epoch == keeper.note.Promised {", "	if epoch <= keeper.note.Promised {"}}},
	{Name: "extra tries have a budget", Never: tries, Worlds: true, Finds: "extra tries", Flags: []string{"--long", "12", "--short", "16"},
		Edits: []Edit{{"internal/pass/budget.go", "	if budget.spare < count*triesShare {", "	if false {"}}},
	{Name: "a budget saves two tries and no more", Never: tries, Package: "./internal/pass", Test: "TestBudgetSavesTwoTriesAndNoMore",
		Edits: []Edit{{"internal/pass/budget.go", "budget.spare = min(budget.spare+1, mostSpare)", "budget.spare++"}}},
	{Name: "a cold server's room grows", Never: cold, Package: "./internal/pass", Test: "TestColdServerIsOfferedLittle",
		Edits: []Edit{{"internal/pass/stall.go", "	return min(1, 0.1+0.9*float64(age)/float64(rampTime))", "	return 1 + 0*float64(age)"}}},
	{Name: "a key rests between two holders", Never: commands, Worlds: true, Finds: "one node at a time", Flags: []string{"--only", "the holder of the parts stays away"},
		Edits: []Edit{{"internal/rota/keys.go", "	return last.Add(keys.terms.Hold + keys.terms.Drift + keys.terms.Rest)", "	return last"}}},
	{Name: "a duty that was given away is not renewed", Never: commands, Package: "./internal/rota", Test: "TestHolderIsNotRenewedOnceItsKeyIsGivenAway",
		Edits: []Edit{{"internal/rota/keys.go", "				keys.given[keyAt(key, duty.Fence)] = true\n", "				_ = duty\n"}}},
	{Name: "a successor waits past the old hold", Never: commands, Package: "./internal/rota", Test: "TestSuccessorWaitsPastTheOldHold",
		Edits: []Edit{{"internal/rota/keys.go", "	return last.Add(keys.terms.Hold + keys.terms.Drift + keys.terms.Rest)", "	return last.Add(keys.terms.Rest)"}}},
	{Name: "a flag waits for every recorded member", Never: formats, Worlds: true, Finds: "a new format waits",
		Edits: []Edit{{"internal/larder/changes.go", "			if len(state.Lacking(flag)) == 0 && len(state.Members) > 0 {", "			if len(state.Members) > 0 {"}, {"internal/hatch/housekeeping.go", "if !state.Flags.Enabled.Has(flag) && len(state.Lacking(flag)) == 0 {", "if !state.Flags.Enabled.Has(flag) {"}}},
	{Name: "a new key is written only under its flag", Never: formats, Worlds: true, Finds: "a new format waits",
		Edits: []Edit{{"internal/recipe/format.go", "		if format.flag != \"\" && !enabled.Has(format.flag) {\n			continue\n		}\n		if failure := record.Put", "		if failure := record.Put"}}},
	{Name: "a restricted backup is better than none", Never: returns, Package: "./internal/larder", Test: "TestRestrictedExpediterIsABackupBeforeNone",
		Edits: []Edit{{"internal/larder/pairing.go", "if hello.Restricted && !charter.Backup.Empty() && !failing && !steward.unsettled {", "if hello.Restricted {"}}},
	{Name: "a primary hands over only to a backup that answers", Never: returns, Package: "./internal/larder", Test: "TestPrimaryDoesNotHandOverToADeadBackup",
		Edits: []Edit{{"internal/larder/standing.go", "	if failure != nil || hello.Seat.Identity != charter.Backup.Identity || hello.Damage != \"\" {", "	if failure != nil && hello.Kind == \"nobody\" {"}}},
	{Name: "an epoch that nobody was granted is asked for anew", Never: returns, Worlds: true, Finds: "", Flags: []string{"--count", "1500"},
		Edits: []Edit{{"internal/larder/steward.go", "	if steward.outrun && !steward.unsettled {\n		steward.regrant(charter)\n	}\n", ""}}},
	{Name: "a keeper that is gone is replaced", Never: returns, Worlds: true, Finds: "",
		Edits: []Edit{{"internal/larder/steward.go", "	steward.ensureBackup()\n	steward.ensureKeepers()\n}", "	steward.ensureBackup()\n}"}}},
}
