package mutation

// What the protections prevent, as texts for Mutation.Violation.
const (
	secondRun             = "a request that may not be repeated runs twice"
	ranAfterRefusal       = "a request runs after its client was told that it never runs"
	corruptResponse       = "a response has missing, duplicate or foreign chunks"
	wrongMemory           = "prompt memory of another request, or used twice"
	leavingServer         = "work is sent to a leaving server"
	evacuatedZone         = "work is sent to an evacuated zone"
	notInForce            = "an accepted configuration is not in force"
	olderConfiguration    = "a node returns to an older configuration"
	rejectedConfiguration = "a refused or superseded configuration takes effect"
	staleRead             = "a read is older than what was accepted"
	excessRetries         = "retries exceed a fifth of the requests"
	coldServerFlooded     = "a cold server is flooded"
	twoCommanders         = "two nodes command one server"
	earlyFormat           = "a new format is used before every member can read it"
	noRecovery            = "service does not return"
	lateReply             = "a client waits too long for the reply to a failed request"
	requestCut            = "a request is cut off by planned work"
	limitExceeded         = "a tenant gets more than its limit"
	keyViolation          = "a call without a key in force is served, or a key is shown"
)

// All lists the mutations, each with the test that must detect it.
var All = []Mutation{
	{
		Name:      "a request is claimed before it is dispatched",
		Violation: secondRun,
		Simulated: true,
		Checker:   "no second run",
		Edits: []Edit{
			{
				"internal/auction/dispatcher.go",
				"	if !admitted.Idempotent {\n		entry.phase = claiming",
				"	if false {\n		entry.phase = claiming",
			},
		},
	},
	{
		Name:      "a claim is granted only once",
		Violation: secondRun,
		Simulated: true,
		Checker:   "no second run",
		Edits: []Edit{
			{
				"internal/replication/claims.go",
				`return failure.New(failure.Duplicate, "claimed by "`,
				`_ = failure.New(failure.Duplicate, "claimed by "`,
			},
		},
	},
	{
		Name:      "a request that may have run is not run again",
		Violation: secondRun,
		Simulated: true,
		Checker:   "no second run",
		Edits: []Edit{
			{"internal/auction/dispatch.go", "if !entry.request.Idempotent && entry.mayHaveRun {", "if false {"},
		},
	},
	{
		Name:      "an order to a server carries a token",
		Violation: secondRun,
		Simulated: true,
		Checker:   "no second run",
		Edits: []Edit{
			{"internal/dataplane/decisions.go", "	token := r.nonce()\n", "	token := \"\"\n"},
		},
	},
	{
		Name:      "a forwarded request is accepted once, by the process it is addressed to",
		Violation: ranAfterRefusal,
		Package:   "./internal/dataplane",
		Test:      "TestForwardingIsAcceptedOnce",
		Edits: []Edit{
			{
				"internal/dataplane/forwarding.go",
				"	return r.seenForwardings.isNew(r.runtime.Now(), forwarding.Nonce)\n",
				"	return true\n",
			},
		},
	},
	{
		Name:      "a duplicate ID is not reported as never run",
		Violation: ranAfterRefusal,
		Package:   "./internal/dataplane",
		Test:      "TestRefusalOfADuplicateIDLeavesRanUnset",
		Edits: []Edit{
			{"internal/dataplane/reply.go", "if decision.Cause != failure.Duplicate {", "if true {"},
		},
	},
	{
		Name:      "a request that may have run is not reported as refused",
		Violation: ranAfterRefusal,
		Simulated: true,
		Checker:   "refused means it never runs",
		Edits: []Edit{
			{"internal/auction/finish.go", "	case !entry.mayHaveRun && !entry.mayBeRunning:\n", "	case true:\n"},
		},
	},
	{
		Name:      "the deadline and the lease are checked when the first byte is sent",
		Violation: ranAfterRefusal,
		Package:   "./internal/adapters/modelserver",
		Test:      "TestRequestThatExpiresWhileDiallingIsNotSent",
		Edits: []Edit{
			{"internal/adapters/modelserver/guardedbody.go", "		if !g.maySend() {", "		if false {"},
		},
	},
	{
		Name:      "no request is dispatched after its deadline",
		Violation: ranAfterRefusal,
		Package:   "./internal/auction",
		Test:      "TestNoDispatchAfterDeadlineOrWithoutLease",
		Edits: []Edit{
			{
				"internal/auction/dispatch.go",
				`	if !now.Before(request.Deadline) {
		return d.abort(now, s, entry, failure.DeadlinePassed)
	}
	leaseEnds := d.ServesUntil()
	if !now.Before(leaseEnds) {
		return d.awaitLease(now, s, entry, readyToPrefill)`,
				`	_ = request
	leaseEnds := d.ServesUntil()
	if !now.Before(leaseEnds) {
		return d.awaitLease(now, s, entry, readyToPrefill)`,
			},
		},
	},
	{
		Name:      "a stream ends at a chunk that is out of sequence",
		Violation: corruptResponse,
		Package:   "./internal/auction",
		Test:      "TestStreamIsNeverSplicedOrRetriedAfterItsFirstChunk",
		Edits: []Edit{
			{"internal/auction/dispatcher.go", "	if chunk != entry.chunks+1 {", "	if false {"},
		},
	},
	{
		Name:      "no second run after the first chunk",
		Violation: corruptResponse,
		Simulated: true,
		Checker:   "replies are whole",
		Edits: []Edit{
			{
				"internal/auction/dispatcher.go",
				`	if entry.chunks > 0 {
		return d.finish(now, s, entry, Failed, failure.ServerFailed)
	}
	entry.tried[server] = true
	switch outcome {`,
				"	entry.chunks = 0\n	entry.tried[server] = true\n	switch outcome {",
			},
		},
	},
	{
		Name:      "a late update of an earlier run is ignored",
		Violation: corruptResponse,
		Package:   "./internal/auction",
		Test:      "TestLateAnswerToAnOlderRunIsIgnored",
		Edits: []Edit{
			{"internal/auction/dispatcher.go", "if !found || (run >= 0 && entry.run != run) {", "if !found {"},
		},
	},
	{
		Name:      "a handle belongs to its run",
		Violation: wrongMemory,
		Package:   "./internal/auction",
		Test:      "TestDecodeUsesTheHandleOfItsOwnRun",
		Edits: []Edit{
			{
				"internal/auction/dispatch.go",
				"entry.bid, entry.phase, entry.handle = bid, prefilling, \"\"",
				"entry.bid, entry.phase = bid, prefilling",
			},
			{
				"internal/auction/dispatcher.go",
				"		entry.mayHaveRun, entry.mayBeRunning, entry.handle = true, false, handle\n",
				"		entry.mayHaveRun, entry.mayBeRunning = true, false\n		if entry.handle == \"\" {\n			entry.handle = handle\n		}\n",
			},
		},
	},
	{
		Name:      "a silent server ends a request that may not be repeated",
		Violation: lateReply,
		Package:   "./internal/auction",
		Test:      "TestUnreachableServerEndsANonIdempotentRequest",
		Edits: []Edit{
			{"internal/auction/finish.go", "		if d.market.hasRecentReport(now, current.server) {", "		if true {"},
		},
	},
	{
		Name:      "a request waits two seconds for a lease and no longer",
		Violation: lateReply,
		Package:   "./internal/auction",
		Test:      "TestRequestIsRefusedWhenNoLeaseComesInTime",
		Edits: []Edit{
			{
				"internal/auction/dispatch.go",
				"	if now.Sub(entry.leaseMissingSince) > leaseTimeout {",
				"	if false {",
			},
		},
	},
	{
		Name:      "a claim is retried for three seconds and no longer",
		Violation: lateReply,
		Simulated: true,
		Checker:   "answered at once",
		Flags:     []string{"--count", "1500"},
		Edits: []Edit{
			{
				"internal/dataplane/decisions.go",
				"	deadline := r.runtime.Now().Add(claimTimeout)\n",
				"	deadline := r.runtime.Now().Add(time.Minute + claimTimeout)\n",
			},
		},
	},
	{
		Name:      "a server that is listed as leaving gets no work",
		Violation: leavingServer,
		Simulated: true,
		Checker:   "leaving server",
		Edits: []Edit{
			{"internal/auction/server.go", "|| current.load.Leaving || s.server.Leaving {", "{"},
		},
	},
	{
		Name:      "a server without a fresh report gets no work",
		Violation: leavingServer,
		Package:   "./internal/auction",
		Test:      "TestServerWithoutAFreshReportGetsNoWork",
		Edits: []Edit{
			{"internal/auction/server.go", "now.Sub(current.at) > reportMaxAge || ", ""},
		},
	},
	{
		Name:      "an evacuated zone gets no work",
		Violation: evacuatedZone,
		Simulated: true,
		Checker:   "evacuated zone",
		Edits: []Edit{
			{"internal/auction/routes.go", "return !t.evacuations[server.Zone] && (", "return ("},
		},
	},
	{
		Name:      "a router accepts requests only under a lease",
		Violation: evacuatedZone,
		Simulated: true,
		Checker:   "an accepted configuration is in force",
		Edits: []Edit{
			{
				"internal/auction/dispatcher.go",
				"	if routes == nil || !now.Before(d.ServesUntil()) {",
				"	if routes == nil {",
			},
		},
	},
	{
		Name:      "a change is accepted once every router has it",
		Violation: notInForce,
		Simulated: true,
		Checker:   "an accepted configuration is in force",
		Edits: []Edit{
			{
				"internal/controlplane/edit.go",
				"confirmed, inForce := c.awaitInForce(term, version)",
				"confirmed, inForce := confirmation{}, term != nil",
			},
		},
	},
	{
		Name:      "a new primary waits for the leases of the old one",
		Violation: notInForce,
		Simulated: true,
		Checker:   "an accepted configuration is in force",
		Flags:     []string{"--count", "1500"},
		Edits: []Edit{
			{
				"internal/lease/router.go",
				"	if now.Before(r.leadsSince.Add(r.timing.Lease + r.timing.Drift)) {",
				"	if false {",
			},
		},
	},
	{
		Name:      "a lease renewal checks the configuration again",
		Violation: notInForce,
		Package:   "./internal/controlplane",
		Test:      "TestLeaseGrantConfirmsAConcurrentlyCommittedConfiguration",
		Edits: []Edit{
			{
				"internal/controlplane/updates.go",
				"if latest.VersionOf(replication.ConfigurationSection) == response.Configuration {",
				"if true {",
			},
		},
	},
	{
		Name:      "a lease confirms the version in force",
		Violation: notInForce,
		Package:   "./internal/auction",
		Test:      "TestLeaseForAnotherVersionAdmitsNothing",
		Edits: []Edit{
			{
				"internal/auction/dispatcher.go",
				"if routes == nil || routes.epoch != epoch || routes.number != number {",
				"if routes == nil {",
			},
		},
	},
	{
		Name:      "an older configuration is ignored",
		Violation: olderConfiguration,
		Package:   "./internal/auction",
		Test:      "TestOlderConfigurationIsIgnored",
		Edits: []Edit{
			{
				"internal/auction/dispatcher.go",
				"if current != nil && (routes.epoch < current.epoch || routes.number <= current.number) {",
				"if false {",
			},
		},
	},
	{
		Name:      "a provisional configuration is on every replica in sync",
		Violation: notInForce,
		Package:   "./internal/follower",
		Test:      "TestProvisionalConfigurationIsOnEveryCopyInSync",
		Edits: []Edit{
			{
				"internal/follower/copystates.go",
				"	if membership.Blank() || !membership.HasQuorum(reported) {",
				"	if membership.Blank() {",
			},
			{
				"internal/follower/copystates.go",
				"			return \"\", version, false\n		}\n		state :=",
				"			continue\n		}\n		state :=",
			},
		},
	},
	{
		Name:      "without the setting no request is served before a lease",
		Violation: notInForce,
		Package:   "./internal/controlplane",
		Test:      "TestRouterServesFromCopiesWithoutAPrimary",
		Edits: []Edit{
			{
				"internal/dataplane/router.go",
				"	r.follower.SetProvisional(length > 0)",
				"	r.follower.SetProvisional(true)",
			},
		},
	},
	{
		Name:      "an update of an older primary is ignored",
		Violation: olderConfiguration,
		Package:   "./internal/follower",
		Test:      "TestFollowerDropsOlderUpdates",
		Edits: []Edit{
			{
				"internal/follower/follower.go",
				"if section.Version.Before(f.sections[name].Version) {",
				"if section.Version.Before(f.sections[name+\"?\"].Version) {",
			},
			{
				"internal/follower/follower.go",
				`if have := f.sections[replication.ConfigurationSection].Version; response.Configuration.Before(have) && have != f.unconfirmed {`,
				"if false {",
			},
		},
	},
	{
		Name:      "changes of the server list apply only to their base",
		Violation: leavingServer,
		Package:   "./internal/follower",
		Test:      "TestOlderChangesDoNotRestoreRemovedServers",
		Edits: []Edit{
			{
				"internal/follower/follower.go",
				"case f.serversRevision == 0 || list.Changes.Base != f.serversRevision:",
				"case f.serversRevision == 0:",
			},
		},
	},
	{
		Name:      "a configuration delta is verified by its checksum",
		Violation: olderConfiguration,
		Package:   "./internal/follower",
		Test:      "TestFollowerAsksForTheSectionWhenADeltaDoesNotFit",
		Edits: []Edit{
			{"internal/wire/delta.go", "crc32.Checksum(content, deltaTable) == d.Checksum", "true"},
		},
	},
	{
		Name:      "an edit names the version that it changes",
		Violation: rejectedConfiguration,
		Simulated: true,
		Checker:   "reads are never older",
		Edits: []Edit{
			{
				"internal/replication/configuration.go",
				"if expected != nil && *expected != configurationVersion {",
				"if false {",
			},
		},
	},
	{
		Name:      "a configuration is checked before it is accepted",
		Violation: rejectedConfiguration,
		Package:   "./internal/replication",
		Test:      "TestInvalidConfigurationChangesNothing",
		Edits: []Edit{
			{
				"internal/replication/configuration.go",
				"		checked, err = config.Check(edited)",
				"		checked, _ = config.Check(edited)",
			},
		},
	},
	{
		Name:      "a write is synced on the backup before its response",
		Violation: staleRead,
		Simulated: true,
		Checker:   "reads are never older",
		Edits: []Edit{
			{
				"internal/controlplane/commit.go",
				"	if pending.backupErr != nil || pending.localErr != nil {",
				"	if pending.localErr != nil {",
			},
		},
	},
	{
		Name:      "a write is synced on the primary before its response",
		Violation: staleRead,
		Package:   "./internal/controlplane",
		Test:      "TestAnswerWaitsForBothDisks",
		Edits: []Edit{
			{
				"internal/controlplane/commit.go",
				"	if pending.backupErr != nil || pending.localErr != nil {",
				"	if pending.backupErr != nil {",
			},
		},
	},
	{
		Name:      "the directory is synced after the rename",
		Violation: staleRead,
		Simulated: true,
		Checker:   "",
		Edits: []Edit{
			{
				"internal/adapters/storage/directory.go",
				"return failure.Wrap(failure.Disk, d.disk.SyncDirectory(d.path))",
				"return nil",
			},
		},
	},
	{
		Name:      "only a replica in sync takes over",
		Violation: staleRead,
		Simulated: true,
		Checker:   "reads are never older",
		Edits: []Edit{
			{"internal/replication/campaign.go", "	if !m.InSync(own.Identity) || c.store", "	if c.store"},
			{
				"internal/replication/campaign.go",
				"		if !base.InSync(own.Identity) {\n			return base, false\n		}\n",
				"",
			},
		},
	},
	{
		Name:      "a damaged replica is detected",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestReplicaKeepsOnlyNeededFiles",
		Edits: []Edit{
			{
				"internal/replication/localreplica.go",
				"			replica.damage = fmt.Sprintf(\"the file of version",
				"			_ = fmt.Sprintf(\"the file of version",
			},
		},
	},
	{
		Name:      "a blank disk has a new identity",
		Violation: staleRead,
		Simulated: true,
		Checker:   "",
		Edits: []Edit{
			{
				"internal/replication/witness.go",
				"	witness.record = witnessRecord{Identity: newIdentity,",
				"	newIdentity = Identity(replica.Address)\n	witness.record = witnessRecord{Identity: newIdentity,",
			},
		},
	},
	{
		Name:      "a witness keeps the lease of the primary that it confirmed",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestAcceptedWritesSurviveAndOnePrimaryAnswers",
		Edits: []Edit{
			{
				"internal/replication/witness.go",
				"	case now.Before(w.leaseEnds) && w.leaseHolder != candidate:",
				"	case false:",
			},
			{
				"internal/replication/witness.go",
				"	if now.Before(w.leaseEnds) && w.leaseHolder != candidate {",
				"	if false {",
			},
			{
				"internal/replication/campaign.go",
				"return !hello.Leads && (hello.LeaseLeft == 0 || hello.LeaseHolder == own.Identity)\n",
				"return true\n",
			},
		},
	},
	{
		Name:      "a restarted witness waits for a lease unless it knows the primary",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestOtherReplicaWaitsForTheLeaseAfterAllRestarted",
		Edits: []Edit{
			{"internal/replication/witness.go", "leaseEnds: now.Add(PrimaryLease),", "leaseEnds: now,"},
		},
	},
	{
		Name:      "a witness renews only under the membership on its disk",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestWitnessRenewsOnlyTheMembershipOnItsDisk",
		Edits: []Edit{
			{"internal/replication/witness.go", "	if epoch > w.record.Membership.Epoch {", "	if false {"},
		},
	},
	{
		Name:      "a backup refuses a deposed primary",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestBackupRefusesAnOlderEpoch",
		Edits: []Edit{
			{
				"internal/replication/witness.go",
				`	if epoch < w.record.Promised {
		return failure.New(failure.OldEpoch, fmt.Sprintf("epoch %d is promised", w.record.Promised))
	}
	if epoch == w.record.Promised {`,
				"	if epoch <= w.record.Promised {",
			},
		},
	},
	{
		Name:      "retries have a budget",
		Violation: excessRetries,
		Simulated: true,
		Checker:   "retries stay under a fifth",
		Flags:     []string{"--long", "12", "--short", "16"},
		Edits: []Edit{
			{"internal/auction/retrybudget.go", "	if b.credit < count*creditPerRetry {", "	if false {"},
		},
	},
	{
		Name:      "a retry budget saves up two retries and no more",
		Violation: excessRetries,
		Package:   "./internal/auction",
		Test:      "TestRetryBudgetCapsItsCreditAtTwoRetries",
		Edits: []Edit{
			{"internal/auction/retrybudget.go", "b.credit = min(b.credit+1, maxCredit)", "b.credit++"},
		},
	},
	{
		Name:      "a warming server's capacity grows",
		Violation: coldServerFlooded,
		Package:   "./internal/auction",
		Test:      "TestWarmingServerGetsFewRequests",
		Edits: []Edit{
			{
				"internal/auction/server.go",
				"	return min(1, 0.1+0.9*float64(age)/float64(rampUpTime))",
				"	return 1 + 0*float64(age)",
			},
		},
	},
	{
		Name:      "a role has a cooldown between two holders",
		Violation: twoCommanders,
		Simulated: true,
		Checker:   "one node at a time",
		Flags:     []string{"--only", "the holder of the parts stays away"},
		Edits: []Edit{
			{
				"internal/lease/role.go",
				"	return last.Add(r.timing.Lease + r.timing.Drift + r.timing.Cooldown)",
				"	return last",
			},
		},
	},
	{
		Name:      "a role that was reassigned is not renewed",
		Violation: twoCommanders,
		Package:   "./internal/lease",
		Test:      "TestHolderIsNotRenewedOnceItsRoleIsReassigned",
		Edits: []Edit{
			{
				"internal/lease/role.go",
				"				r.reassigned[roleID(key, role.FencingToken)] = true\n",
				"				_ = role\n",
			},
		},
	},
	{
		Name:      "a successor waits past the old lease",
		Violation: twoCommanders,
		Package:   "./internal/lease",
		Test:      "TestSuccessorWaitsPastTheOldLease",
		Edits: []Edit{
			{
				"internal/lease/role.go",
				"	return last.Add(r.timing.Lease + r.timing.Drift + r.timing.Cooldown)",
				"	return last.Add(r.timing.Cooldown)",
			},
		},
	},
	{
		Name:      "a flag waits for every recorded member",
		Violation: earlyFormat,
		Simulated: true,
		Checker:   "a new format waits",
		Edits: []Edit{
			{
				"internal/replication/changes.go",
				"			if len(state.MembersWithout(flag)) == 0 && len(state.Members) > 0 {",
				"			if len(state.Members) > 0 {",
			},
			{
				"internal/controlplane/housekeeping.go",
				"if !state.Flags.Enabled.Has(flag) && len(state.MembersWithout(flag)) == 0 {",
				"if !state.Flags.Enabled.Has(flag) {",
			},
		},
	},
	{
		Name:      "a new key is written only under its flag",
		Violation: earlyFormat,
		Simulated: true,
		Checker:   "a new format waits",
		Edits: []Edit{
			{
				"internal/codec/record.go",
				"		if f.flag != \"\" && !enabled.Has(f.flag) {\n			continue\n		}\n		if err := r.Put",
				"		if err := r.Put",
			},
		},
	},
	{
		Name:      "a restricted controller is a backup before none",
		Violation: noRecovery,
		Package:   "./internal/replication",
		Test:      "TestRestrictedControllerBecomesBackupIfNoOtherCan",
		Edits: []Edit{
			{
				"internal/replication/candidates.go",
				`	case status.hello.Restricted && !several && !m.Backup.Empty() && !c.backupFailingLocked(m.Backup.Identity) && !c.membershipUnknown:`,
				"	case status.hello.Restricted:\n		return 0, false\n	case status.hello.Restricted && c.membershipUnknown:",
			},
		},
	},
	{
		Name:      "all of three replicas stay in sync at a takeover",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestSecondLossInTheMiddleOfATakeover",
		Edits: []Edit{
			{
				"internal/replication/campaign.go",
				"base.WithReplicas(c.withZone(own), base.InSyncExcept(own.Identity)), true",
				"base.WithReplicas(c.withZone(own), nil), true",
			},
		},
	},
	{
		Name:      "the other of two replicas stays in sync at a takeover",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestAcknowledgedWritesSurviveALostDiskDuringATakeover",
		Edits: []Edit{
			{
				"internal/replication/campaign.go",
				"base.WithReplicas(c.withZone(own), base.InSyncExcept(own.Identity)), true",
				"base.WithReplicas(c.withZone(own), nil), true",
			},
		},
	},
	{
		Name:      "the old primary stays in sync at a transfer of leadership",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestOldPrimaryStaysInSyncAfterATransfer",
		Edits: []Edit{
			{
				"internal/replication/transfer.go",
				"base.WithReplicas(next, base.InSyncExcept(next.Identity)), true",
				"base.WithReplicas(next, nil), true",
			},
		},
	},
	{
		Name:      "a new primary shows nothing before a backup has it",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestNewPrimaryShowsNothingBeforeABackupHasIt",
		Edits: []Edit{
			{
				"internal/replication/store.go",
				"	s.hidden.Store(true)\n",
				"	s.hidden.Store(false)\n",
			},
		},
	},
	{
		Name:      "every backup has a write before its response",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestEveryPairOfDisksLost",
		Edits: []Edit{
			{
				"internal/replication/membership.go",
				"		m.FurtherBackups = append([]Replica(nil), backups[1:]...)",
				"		m.FurtherBackups = nil",
			},
		},
	},
	{
		Name:      "a primary hands over only to a backup that responds",
		Violation: noRecovery,
		Package:   "./internal/replication",
		Test:      "TestPrimaryDoesNotHandOverToADeadBackup",
		Edits: []Edit{
			{
				"internal/replication/transfer.go",
				"			err = successorFault(hello, backup.Identity, len(membership.FurtherBackups) > 0)\n",
				"",
			},
			{
				"internal/replication/transfer.go",
				"		if err == nil {\n			return backup, true\n",
				"		if err == nil || hello.Kind != \"nobody\" {\n			return backup, true\n",
			},
		},
	},
	{
		Name:      "a primary that leaves with its backup hands over to a remaining member",
		Violation: noRecovery,
		Package:   "./internal/replication",
		Test:      "TestEntireCoreStopsGracefully",
		Edits: []Edit{
			{
				"internal/replication/coordinator.go",
				"!c.membershipUnknown && c.transferLeadership(membership) {",
				"(!c.membershipUnknown && c.transferLeadership(membership) || !c.membershipUnknown) {",
			},
		},
	},
	{
		Name:      "a member that leaves ends at once when no member stays",
		Violation: noRecovery,
		Package:   "./internal/replication",
		Test:      "TestEntireCoreStopsGracefully",
		Edits: []Edit{
			{"internal/replication/leaving.go", "	if c.noOtherStays(m) {", "	if c.noOtherStays(m) && false {"},
		},
	},
	{
		Name:      "an epoch that was not granted is proposed again",
		Violation: noRecovery,
		Simulated: true,
		Checker:   "",
		Flags:     []string{"--count", "1500"},
		Edits: []Edit{
			{
				"internal/replication/coordinator.go",
				"	if c.higherPromiseSeen && !c.membershipUnknown {\n		c.reproposeMembership(membership)\n	}\n",
				"",
			},
		},
	},
	{
		Name:      "a witness that is gone is replaced",
		Violation: noRecovery,
		Simulated: true,
		Checker:   "",
		Edits: []Edit{
			{
				"internal/replication/coordinator.go",
				"	c.ensureBackups()\n	c.reconcileWitnesses()\n}",
				"	c.ensureBackups()\n}",
			},
		},
	},
	{
		Name:      "a call that may have run is not sent again",
		Violation: secondRun,
		Package:   "./internal/testbed/simulation",
		Test:      "TestCallsInVirtualTime",
		Edits: []Edit{
			{
				"internal/scheduler/retry.go",
				"	case state.mayHaveRun && !state.idempotent(), state.streamBegun",
				"	case state.streamBegun",
			},
		},
	},
	{
		Name:      "a connection with a partial write counts as reached",
		Violation: secondRun,
		Package:   "./internal/adapters/proxy",
		Test:      "TestFailedResponsesAreClassified",
		Edits: []Edit{
			{"internal/adapters/proxy/exchange.go", "		case !wrote:", "		case !wrote || true:"},
		},
	},
	{
		Name:      "a closed connection takes no more bytes",
		Violation: secondRun,
		Package:   "./internal/adapters/proxy",
		Test:      "TestEndReportsWhetherBytesWereWritten",
		Edits: []Edit{
			{"internal/adapters/proxy/conn.go", "	if c.closed {", "	if false {"},
		},
	},
	{
		Name:      "a stalled stream goes on if no server takes the call over",
		Violation: requestCut,
		Package:   "./internal/adapters/proxy",
		Test:      "TestStreamOfAPausingServerIsComplete",
		Edits: []Edit{
			{
				"internal/scheduler/retry.go",
				"	if state.stalled.backend != nil {\n		return s.continueStalled(now, state)\n	}\n",
				"",
			},
		},
	},
	{
		Name:      "one of a stalled stream and its successor reaches the client",
		Violation: corruptResponse,
		Package:   "./internal/adapters/proxy",
		Test:      "TestOneOfBothStreamsReachesTheClient",
		Edits: []Edit{
			{"internal/adapters/proxy/stall.go", "		e.rival.cancel()\n", ""},
		},
	},
	{
		Name:      "a connection carries no ID twice in succession",
		Violation: ranAfterRefusal,
		Package:   "./internal/adapters/proxy",
		Test:      "TestCallIsNotRefusedWhileItRuns",
		Edits: []Edit{
			{"internal/adapters/proxy/pool.go", "		if !conn.request.mayBeAnsweredAs(id) {", "		if !conn.request.mayBeAnsweredAs(\"\") {"},
		},
	},
	{
		Name:      "a late answer to a release belongs to no call",
		Violation: corruptResponse,
		Package:   "./internal/adapters/proxy",
		Test:      "TestLateAnswersAroundTheReleaseOfAHandle",
		Edits: []Edit{
			{"internal/adapters/proxy/exchange.go", "(success || d.conn.previousHadNoID())", "success"},
		},
	},
	{
		Name:      "a status does not claim that a call never ran unless the server said so",
		Violation: ranAfterRefusal,
		Package:   "./internal/adapters/proxy",
		Test:      "TestFailedResponsesAreClassified",
		Edits: []Edit{
			{
				"internal/adapters/proxy/exchange.go",
				"|| result == scheduler.ErrorResponse && impliesNotRun(response.StatusCode) {",
				"{",
			},
		},
	},
	{
		Name:      "the last server's refusal does not hide an earlier run",
		Violation: ranAfterRefusal,
		Package:   "./internal/dataplane",
		Test:      "TestConcludeReturns502AfterAPossibleRun",
		Edits: []Edit{
			{
				"internal/dataplane/calls.go",
				"		if onlyEarlierMayHaveRun || !exchange.ForwardFailure() {",
				"		if !exchange.ForwardFailure() {",
			},
		},
	},
	{
		Name:      "a router does not report a call as never run after a run",
		Violation: ranAfterRefusal,
		Package:   "./internal/dataplane",
		Test:      "TestConcludeReturns502AfterAPossibleRun",
		Edits: []Edit{
			{"internal/dataplane/calls.go", "		if mayHaveRun && refusal.Cause.NeverRan() {", "		if false {"},
		},
	},
	{
		Name:      "a response with another call's ID is rejected",
		Violation: corruptResponse,
		Package:   "./internal/adapters/proxy",
		Test:      "TestBytesAfterACompleteResponseBelongToNoCall",
		Edits: []Edit{
			{
				"internal/adapters/proxy/exchange.go",
				"found && (len(id) != 1 || id[0] != e.call.ID)",
				"found && id == nil",
			},
		},
	},
	{
		Name:      "a stream that ends with its connection within an event does not look complete",
		Violation: corruptResponse,
		Package:   "./internal/adapters/proxy",
		Test:      "TestCloseDelimitedStreamCutWithinAnEventDoesNotLookComplete",
		Edits: []Edit{
			{"internal/adapters/proxy/bodyend.go", "	case incomplete:\n", "	case false:\n"},
		},
	},
	{
		Name:      "a stream that ends with its connection before any event does not look complete",
		Violation: corruptResponse,
		Package:   "./internal/adapters/proxy",
		Test:      "TestCloseDelimitedStreamWithoutAnEventIsNoAnswer",
		Edits: []Edit{
			{
				"internal/adapters/proxy/events.go",
				"	return !r.hasContent || isIncompleteEvent(",
				"	return isIncompleteEvent(",
			},
		},
	},
	{
		Name:      "a JSON response that ends with its connection within a value does not look complete",
		Violation: corruptResponse,
		Package:   "./internal/adapters/proxy",
		Test:      "TestCloseDelimitedJSONThatIsCutDoesNotLookComplete",
		Edits: []Edit{
			{
				"internal/adapters/proxy/bodyend.go",
				"		incomplete := d.closeDelimited && isIncompleteJSON(",
				"		incomplete := false && isIncompleteJSON(",
			},
		},
	},
	{
		Name:      "the cut body of an error is not forwarded",
		Violation: corruptResponse,
		Package:   "./internal/adapters/proxy",
		Test:      "TestCutErrorKeepsItsStatus",
		Edits: []Edit{
			{"internal/adapters/proxy/exchange.go", "	if err == errTruncated || result", "	if result"},
		},
	},
	{
		Name:      "a response that breaks off does not look complete to an HTTP/1.0 client",
		Violation: corruptResponse,
		Package:   "./internal/adapters/proxy",
		Test:      "TestInterruptedStreamIsResetForAnHTTP10Client",
		Edits: []Edit{
			{"internal/adapters/proxy/handler.go", "		if !inbound.ProtoAtLeast(1, 1) {", "		if false {"},
		},
	},
	{
		Name:      "events that were already forwarded are skipped",
		Violation: corruptResponse,
		Package:   "./internal/adapters/proxy",
		Test:      "TestStreamResumesAtAnotherServer",
		Edits: []Edit{
			{
				"internal/adapters/proxy/streaming.go",
				"		if found && stream.resumed && !isAfter(id, e.lastEvent) {",
				"		if found && stream.resumed && id == \"never\" {",
			},
		},
	},
	{
		Name:      "no response is invented for a client that left",
		Violation: corruptResponse,
		Package:   "./internal/adapters/proxy",
		Test:      "TestHalfClosedClientGetsNoInventedResponse",
		Edits: []Edit{
			{
				"internal/adapters/proxy/handler.go",
				"	if result == endInterrupted || result == endClientGone {",
				"	if result == endInterrupted {",
			},
		},
	},
	{
		Name:      "a connection that was idle for too long is not reused",
		Violation: corruptResponse,
		Package:   "./internal/adapters/proxy",
		Test:      "TestConnectionIdleForTooLongIsNotReused",
		Edits: []Edit{
			{
				"internal/adapters/proxy/conn.go",
				"(!c.idleSince.IsZero() && now.Sub(c.idleSince) > c.keepAlive)",
				"false",
			},
		},
	},
	{
		Name:      "servers of a returned zone count as warming",
		Violation: coldServerFlooded,
		Package:   "./internal/scheduler",
		Test:      "TestServersOfAZoneThatComesBackCountAsWarming",
		Edits: []Edit{
			{"internal/scheduler/cycle.go", "	s.warmReturnedZones(now)\n", ""},
		},
	},
	{
		Name:      "servers of a returned zone count as warming for long enough",
		Violation: coldServerFlooded,
		Package:   "./internal/scheduler",
		Test:      "TestReturnedZoneIsNotOverloadedBeforeTheNextList",
		Edits: []Edit{
			{
				"internal/scheduler/warming.go",
				"		duration = max(duration, found.Warming.Duration)\n",
				"		duration = max(duration, found.Warming.Duration/3)\n",
			},
		},
	},
	{
		Name:      "few routers send to one warming server",
		Violation: coldServerFlooded,
		Package:   "./internal/scheduler",
		Test:      "TestWarmingServerIsNotOverloadedByManySenders",
		Edits: []Edit{
			{
				"internal/scheduler/warming.go",
				"	return rate, b.warmingRank(routers) < senders\n",
				"	return rate, rendezvousWeight(nameKey(c.scheduler.options.Router), b.key)%uint64(recorded) < uint64(senders)\n",
			},
		},
	},
	{
		Name:      "the senders to a warming server share its rate",
		Violation: coldServerFlooded,
		Package:   "./internal/scheduler",
		Test:      "TestWarmingSendersStayInTheBoundWithDifferingLists",
		Edits: []Edit{
			{
				"internal/scheduler/warming.go",
				"	return senders, perSecond * warmingShare / float64(senders)\n",
				"	return senders, perSecond * warmingShare / fewRouters\n",
			},
		},
	},
	{
		Name:      "a router without the other routers' names sends nothing to warming servers",
		Violation: coldServerFlooded,
		Package:   "./internal/scheduler",
		Test:      "TestRouterWithoutNamesSendsNothingToWarmingServers",
		Edits: []Edit{
			{
				"internal/scheduler/warming.go",
				"		return 0, false\n",
				"		return perSecond * warmingShare / fewRouters, true\n",
			},
		},
	},
	{
		Name:      "the names of the routers reach the scheduler",
		Violation: coldServerFlooded,
		Package:   "./internal/dataplane",
		Test:      "TestRecordedRoutersReachTheScheduler",
		Edits: []Edit{
			{"internal/dataplane/updates.go", "	r.core.Calls().SetRouters(names)\n", ""},
		},
	},
	{
		Name:      "signals stay caught while a process drains",
		Violation: requestCut,
		Package:   "./internal/adapters/daemon",
		Test:      "TestSignalsStayCaughtDuringDrain",
		Edits: []Edit{
			{
				"internal/adapters/daemon/signals.go",
				"	var polls <-chan time.Time\n",
				"	defer signal.Stop(s.caught)\n	var polls <-chan time.Time\n",
			},
		},
	},
	{
		Name:      "no request is admitted on a closing connection",
		Violation: requestCut,
		Package:   "./internal/adapters/proxy",
		Test:      "TestNoInterleavingClosesTheConnectionOfAForwardedRequest",
		Edits: []Edit{
			{"internal/adapters/proxy/clientconnection.go", "	c.admitted = !c.closing\n", "	c.admitted = true\n"},
		},
	},
	{
		Name:      "a lost primary is also searched for through other routers",
		Violation: notInForce,
		Package:   "./internal/follower",
		Test:      "TestFollowerFindsACoreOfWhichAllMachinesWereReplaced",
		Edits: []Edit{
			{
				"internal/follower/search.go",
				"	if s.rounds > 0 && (f.Membership().Blank()",
				"	if false && (f.Membership().Blank()",
			},
		},
	},
	{
		Name:      "an accepted change is remembered for its retention time",
		Violation: rejectedConfiguration,
		Package:   "./internal/replication",
		Test:      "TestRepeatedChangeIsAcceptedOnce",
		Edits: []Edit{
			{"internal/replication/changerecords.go", "now.Add(-ChangeRetention)", "now.Add(-time.Second)"},
		},
	},
	{
		Name:      "an order older than its zone's last change is rejected as late",
		Violation: evacuatedZone,
		Package:   "./internal/controlplane",
		Test:      "TestLateOrdersChangeNoZone",
		Edits: []Edit{
			{"internal/controlplane/zoneorders.go", " && order.Connection.SentAfter.After(last.at) {", " {"},
		},
	},
	{
		Name:      "an order older than its primary's term is rejected as late",
		Violation: evacuatedZone,
		Package:   "./internal/controlplane",
		Test:      "TestLateOrdersChangeNoZone",
		Edits: []Edit{
			{"internal/controlplane/zoneorders.go", "order.Connection.SentAfter.After(z.since) && ", ""},
		},
	},
	{
		Name:      "change records are stored in sections only under their flag",
		Violation: earlyFormat,
		Simulated: true,
		Checker:   "new format",
		Edits: []Edit{
			{
				"internal/replication/configuration.go",
				"		inSections := state.Flags.Enabled.Has(features.ChangeSections)\n",
				"		inSections := features.ChangeSections != \"\"\n",
			},
		},
	},
	{
		Name:      "a blank controller asks its neighbours for the core",
		Violation: noRecovery,
		Package:   "./internal/controlplane",
		Test:      "TestABlankMachineFindsTheCoreThroughItsNeighbour",
		Edits: []Edit{
			{
				"internal/controlplane/contacts.go",
				"	routers := slices.Clone(c.options.Neighbours)\n",
				"	var routers []string\n",
			},
		},
	},
	{
		Name:      "a batch is committed under the epoch of the replicas that have it",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestABatchOfAnEarlierPairIsNotCommitted",
		Edits: []Edit{
			{"internal/replication/store.go", " || s.epoch != batch.Version.Epoch {", " {"},
		},
	},
	{
		Name:      "a replica installs a primary's snapshots in order",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestALateSnapshotIsRefused",
		Edits: []Edit{
			{
				"internal/replication/store.go",
				"snapshot.Sequence < s.installed.sequence {",
				"snapshot.Sequence < s.installed.sequence && false {",
			},
		},
	},
	{
		Name:      "a witness stays while its vote is needed",
		Violation: noRecovery,
		Package:   "./internal/replication",
		Test:      "TestAWitnessStaysWhileItsVoteIsNeeded",
		Edits: []Edit{
			{"internal/replication/leaving.go", " && !c.voteNeeded(m)", ""},
		},
	},
	{
		Name:      "a write does not wait for a backup that was replaced",
		Violation: noRecovery,
		Package:   "./internal/controlplane",
		Test:      "TestEditDoesNotWaitForAReplacedBackup",
		Edits: []Edit{
			{
				"internal/controlplane/commit.go",
				"localEnded && c.coordinator.Membership().Epoch != membership.Epoch {",
				"localEnded && false {",
			},
		},
	},
	{
		Name:      "a request line in two segments is not cut when a connection closes",
		Violation: requestCut,
		Package:   "./internal/adapters/proxy",
		Test:      "TestRequestLineInTwoSegmentsIsNotCutByClosing",
		Edits: []Edit{
			{"internal/adapters/proxy/clientconnection.go", "c.admitted || c.begun {", "c.admitted {"},
		},
	},
	{
		Name:      "a call is forwarded with its target unchanged",
		Violation: corruptResponse,
		Package:   "./internal/adapters/proxy",
		Test:      "TestCallAndResponseAreForwardedUnchanged",
		Edits: []Edit{
			{"internal/adapters/proxy/exchange.go", "Opaque: e.target},", "Opaque: e.target + \"?\"},"},
		},
	},
	{
		Name:      "a call names the server that it is sent to",
		Violation: corruptResponse,
		Package:   "./internal/adapters/proxy",
		Test:      "TestCallAndResponseAreForwardedUnchanged",
		Edits: []Edit{
			{
				"internal/adapters/proxy/exchange.go",
				"	header[protocol.Target] = []string{decision.Server.Name}\n",
				"",
			},
		},
	},
	{
		Name:      "a server is told the remaining time",
		Violation: lateReply,
		Package:   "./internal/adapters/proxy",
		Test:      "TestCallAndResponseAreForwardedUnchanged",
		Edits: []Edit{
			{
				"internal/adapters/proxy/exchange.go",
				"	header[protocol.Limit] = []string{strconv.FormatInt(remaining, 10)}\n",
				"	header[protocol.Limit] = []string{strconv.FormatInt(remaining+5000, 10)}\n",
			},
		},
	},
	{
		Name:      "a server's work ends when its client has left",
		Violation: lateReply,
		Package:   "./internal/adapters/proxy",
		Test:      "TestServerWorkEndsWhenTheClientDisconnects",
		Edits: []Edit{
			{
				"internal/adapters/proxy/exchange.go",
				"context.WithCancel(e.inbound.Context())",
				"context.WithCancel(context.WithoutCancel(e.inbound.Context()))",
			},
		},
	},
	{
		Name:      "a router that leaves is not ready",
		Violation: leavingServer,
		Package:   "./internal/dataplane",
		Test:      "TestReadyNeedsAConfigurationAndServers",
		Edits: []Edit{
			{"internal/dataplane/calls.go", " && !c.leaving.Load() && c.serves()", " && c.serves()"},
		},
	},
	{
		Name:      "a router without a configuration refuses calls as not ready",
		Violation: ranAfterRefusal,
		Package:   "./internal/dataplane",
		Test:      "TestACallBeforeAConfigurationIsRefused",
		Edits: []Edit{
			{
				"internal/dataplane/calls.go",
				"	case scheduler.NoRoute:\n",
				"	case scheduler.NoRoute, scheduler.NotReady:\n",
			},
		},
	},
	{
		Name:      "a call goes to no more servers than its route allows",
		Violation: excessRetries,
		Package:   "./internal/scheduler",
		Test:      "TestACallGoesToNoMoreServersThanItsRouteSays",
		Edits: []Edit{
			{
				"internal/scheduler/retry.go",
				"	case state.attempts >= max(1, state.routeRule.calls.MaxAttempts):\n",
				"	case state.attempts >= max(1, state.routeRule.calls.MaxAttempts)+9:\n",
			},
		},
	},
	{
		Name:      "a leaving server gets no call",
		Violation: leavingServer,
		Package:   "./internal/scheduler",
		Test:      "TestALeavingServerGetsNoCall",
		Edits: []Edit{
			{"internal/scheduler/filter.go", "b.server.Leaving, b.changingRole()", "b.changingRole()"},
		},
	},
	{
		Name:      "a refusal needs the lease",
		Violation: rejectedConfiguration,
		Package:   "./internal/controlplane",
		Test:      "TestARefusalNeedsTheLease",
		Edits: []Edit{
			{
				"internal/controlplane/commit.go",
				"	case failure.CodeOf(err) == failure.NotPrimary:\n",
				"	case err != nil:\n",
			},
		},
	},
	{
		Name:      "a controller that leaves says so and is replaced first",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestLeavingControllerHandsOverBeforeItStops",
		Edits: []Edit{
			{"internal/replication/hello.go", "Leaving: c.departure.began}", "Leaving: false}"},
		},
	},
	{
		Name:      "a primary that leaves counts as a replica until it is replaced",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestLeavingControllerHandsOverBeforeItStops",
		Edits: []Edit{
			{
				"internal/replication/transfer.go",
				"base.WithReplicas(next, base.InSyncExcept(next.Identity)), true",
				"base.WithReplicas(next, nil), true",
			},
		},
	},
	{
		Name:      "the last replica leads even if it was about to leave",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestLeavingControllerWithTheLastReplicaLeadsAgain",
		Edits: []Edit{
			{
				"internal/replication/campaign.go",
				"c.isLeaving() && c.otherCandidateAlive(m, min(responseFreshness, c.timing.MaxHeartbeatGap))",
				"c.isLeaving()",
			},
		},
	},
	{
		Name:      "witnesses that are gone are replaced within the bound",
		Violation: staleRead,
		Package:   "./internal/replication",
		Test:      "TestSecondLossIsToleratedAfterTheCatchUp",
		Edits: []Edit{
			{
				"internal/replication/timing.go",
				"min(max(catchUp/5, minWitnessTimeout), maxWitnessTimeout)",
				"4 * time.Second",
			},
		},
	},
	{
		Name:      "retries of calls stay in the router's share",
		Violation: excessRetries,
		Package:   "./internal/scheduler",
		Test:      "TestRetriesStayInTheBudget",
		Edits: []Edit{
			{
				"internal/scheduler/retrybudget.go",
				"	if r.used()+float64(count) > r.allowed(now, allowance, routers) {",
				"	if false {",
			},
		},
	},
	{
		Name:      "the slack of retries is shared with recorded but silent routers",
		Violation: excessRetries,
		Package:   "./internal/scheduler",
		Test:      "TestRetrySlackIsBoundedWhenThePrimaryCountsFewRouters",
		Edits: []Edit{
			{
				"internal/scheduler/scheduler.go",
				"return max(s.routerCount(), s.RecordedRouters())",
				"return s.routerCount()",
			},
		},
	},
	{
		Name:      "a restarted router has no retry slack",
		Violation: excessRetries,
		Package:   "./internal/scheduler",
		Test:      "TestBudgetStartsEmpty",
		Edits: []Edit{
			{"internal/scheduler/retrybudget.go", "slack*grown", "slack+0*grown"},
		},
	},
	{
		Name:      "the reports of one zone eject no server",
		Violation: noRecovery,
		Package:   "./internal/outlier",
		Test:      "TestReportsOfOneZoneEjectNoServer",
		Edits: []Edit{
			{"internal/outlier/detector.go", " && len(zones) >= min(minZones, len(d.zones))", ""},
		},
	},
	{
		Name:      "the share of a router that is gone expires",
		Violation: noRecovery,
		Package:   "./internal/backlog",
		Test:      "TestSharesExpire",
		Edits: []Edit{
			{
				"internal/backlog/table.go",
				"		if now.Before(current.expires) {\n			sums",
				"		if true {\n			sums",
			},
		},
	},
	{
		Name:      "a silent count owner is skipped",
		Violation: lateReply,
		Package:   "./internal/dataplane",
		Test:      "TestSilentCountOwnerIsSkipped",
		Edits: []Edit{
			{"internal/dataplane/backlogcounts.go", "		c.failedAt[owner.Address] = c.runtime.Now()\n", ""},
		},
	},
	{
		Name:      "a token that was reported as spent is not returned",
		Violation: limitExceeded,
		Package:   "./internal/quota",
		Test:      "TestATokenThatWasReportedIsNotGivenBack",
		Edits: []Edit{
			{"internal/quota/allowances.go", "found && s.spent > s.reported {", "found && s.spent > 0 {"},
		},
	},
	{
		Name:      "a member subtracts the debt of a router that it first hears from",
		Violation: limitExceeded,
		Package:   "./internal/quota",
		Test:      "TestExploredLimitHolds",
		Edits: []Edit{
			{"internal/quota/ledger.go", "b.level-float64(want.Debt))", "b.level)"},
		},
	},
	{
		Name:      "a grant of tokens expires",
		Violation: limitExceeded,
		Package:   "./internal/quota",
		Test:      "TestExploredLimitHolds",
		Edits: []Edit{
			{"internal/quota/allowances.go", "found && now.Before(grant.expires) {", "found {"},
		},
	},
	{
		Name:      "a call needs a key in force",
		Violation: keyViolation,
		Package:   "./internal/adapters/proxy",
		Test:      "TestCallsWithoutAKnownKeyAreRefused",
		Edits: []Edit{
			{"internal/scheduler/tenants.go", "	return tenant, found\n", "	return tenant, found || true\n"},
		},
	},
	{
		Name:      "a key is not forwarded by the router",
		Violation: keyViolation,
		Package:   "./internal/adapters/proxy",
		Test:      "TestServersReceiveTheTenantAndNotTheKey",
		Edits: []Edit{
			{"internal/adapters/proxy/handler.go", "protocol.Urgency, protocol.Key, ", "protocol.Urgency, "},
		},
	},
	{
		Name:      "a client does not name its own tenant",
		Violation: keyViolation,
		Package:   "./internal/adapters/proxy",
		Test:      "TestServersReceiveTheTenantAndNotTheKey",
		Edits: []Edit{
			{"internal/adapters/proxy/handler.go", "protocol.Key, protocol.Tenant, ", "protocol.Key, "},
		},
	},
	{
		Name:      "two tenants do not share a key",
		Violation: keyViolation,
		Package:   "./platform",
		Test:      "TestDuplicateKeyIsRejected",
		Edits: []Edit{
			{"internal/config/tenants.go", "		case owner != tenant.Name:", "		case owner == \"\":"},
		},
	},
	{
		Name:      "tenants stored by an earlier release are in force",
		Violation: keyViolation,
		Package:   "./platform",
		Test:      "TestStoredTenantsOfEarlierReleasesAreInForce",
		Edits: []Edit{
			{"platform/stored.go", "untranslated.Type() == fastjson.TypeNull || root.Exists(\"tenants\")", "true"},
		},
	},
	{
		Name:      "a stored configuration that is refused is not in force",
		Violation: keyViolation,
		Package:   ".",
		Test:      "TestUntranslatableStoredConfigurationIsNotInForce",
		Edits: []Edit{
			{
				"core.go",
				"		if text, err = c.options.StoredConfiguration(text); err != nil {\n			return nil, err\n		}\n",
				"		if text, err = c.options.StoredConfiguration(text); err != nil {\n			text = []byte(`{}`)\n		}\n",
			},
		},
	},
	{
		Name:      "tenants wait for members that can't read them",
		Violation: earlyFormat,
		Package:   "./internal/replication",
		Test:      "TestTenantsWaitForMembersThatCannotReadThem",
		Edits: []Edit{
			{
				"internal/replication/configuration.go",
				"		if err := state.checkReadable(prepared.needs); err != nil {\n			return err\n		}\n",
				"",
			},
		},
	},
	{
		Name:      "a member that can't read the present tenants delays no change",
		Violation: notInForce,
		Package:   "./internal/replication",
		Test:      "TestTenantsWaitForMembersThatCannotReadThem",
		Edits: []Edit{
			{
				"internal/replication/configuration.go",
				"err == nil && neededFlags(present).Has(flag) {",
				"err == nil && neededFlags(present).Has(flag) && false {",
			},
		},
	},
	{
		Name:      "a build without tenants accepts no configuration with them",
		Violation: keyViolation,
		Package:   ".",
		Test:      "TestCoreWithoutTenantSupportRejectsTenants",
		Edits: []Edit{
			{
				"core.go",
				"configuration.Tenants != nil && !c.options.Supported.Has(features.Tenants)",
				"configuration.Tenants != nil && !c.options.Supported.Has(features.Tenants) && false",
			},
		},
	},
	{
		Name:      "stored files with keys are readable only by their owner",
		Violation: keyViolation,
		Package:   "./internal/adapters/storage",
		Test:      "TestStoredFilesAreReadByTheirOwnerOnly",
		Edits: []Edit{
			{
				"internal/adapters/storage/disk.go",
				"	directoryMode = 0o700\n	fileMode      = 0o600\n",
				"	directoryMode = 0o755\n	fileMode      = 0o644\n",
			},
		},
	},
	{
		Name:      "an error about keys shows none",
		Violation: keyViolation,
		Package:   "./internal/config",
		Test:      "TestErrorsShowNoKey",
		Edits: []Edit{
			{
				"internal/config/check.go",
				"	if err := fastjson.ValidateBytes(text); err != nil {\n		validation.add(failure.Malformed, \"/\", SyntaxDetail(text))",
				"	if err := fastjson.ValidateBytes(text); err != nil {\n		validation.add(failure.Malformed, \"/\", err.Error())",
			},
		},
	},
	{
		Name:      "removing a tenant creates no list of tenants",
		Violation: notInForce,
		Package:   "./platform",
		Test:      "TestRemovingAnUnknownTenantCreatesNoList",
		Edits: []Edit{
			{"platform/patch.go", "!root.Exists(name) && len(p.lists[name].order) > 0 {", "!root.Exists(name) {"},
		},
	},
	{
		Name:      "a refusal before the body has a retry time",
		Violation: ranAfterRefusal,
		Package:   "./internal/adapters/proxy",
		Test:      "TestRefusalBeforeTheBodyHasRetryAfter",
		Edits: []Edit{
			{"internal/adapters/proxy/handler.go", "		setRetryAfter(writer.Header(), refusal.RetryAfter)\n", ""},
		},
	},
}
