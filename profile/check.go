package profile

import (
	"encoding/hex"
	"math"
	"net/url"
	"slices"
	"strings"
	"time"

	"nutmegfield.example/yamlfile"
)

// Limits of a configuration's values.
const (
	maxNameBytes       = 128
	maxDeadline        = 24 * time.Hour
	maxRecordRetention = 366 * 24 * time.Hour
	// maxAnswerBytes keeps a record, which holds the encoded answer, well below
	// the platform's limit of 1 MB for an object.
	maxAnswerBytes = 512 << 10
	// maxCount is the limit of weights, rates, slots, output tokens and waiting
	// requests.
	maxCount = 10_000_000
	// tokenHashBytes is the size of a SHA-256 sum.
	tokenHashBytes = 32
)

// checker checks the values of a configuration and collects the faults found.
type checker struct {
	*yamlfile.Checker
	// registeredNames holds the names of policies and protocols allowed.
	registeredNames RegisteredNames
}

func (checker *checker) check(configuration *Configuration) {
	if configuration.Format != Format {
		checker.AddFault(yamlfile.Path{"format"}, "is %d, this program reads %d", configuration.Format, Format)
		return
	}
	tiers := checker.checkTiers(configuration.Tiers)
	profiles := checker.checkProfiles(configuration.Profiles, tiers)
	checker.checkWorkspaces(configuration.Workspaces)
	checker.checkPools(configuration.Pools, profiles)
	checker.checkLimits(configuration.Limits)
}

// checkTiers checks the tiers and returns their names.
func (checker *checker) checkTiers(tiers []string) nameSet {
	names := nameSet{}
	if len(tiers) == 0 {
		checker.AddFault(yamlfile.Path{"tiers"}, "lists no tier, at least one is needed")
	}
	if len(tiers) > math.MaxUint8 {
		checker.AddFault(yamlfile.Path{"tiers"}, "lists %d tiers, at most %d", len(tiers), math.MaxUint8)
	}
	for i, tier := range tiers {
		checker.checkName(yamlfile.Path{"tiers", i}, tier, names)
	}
	return names
}

// checkProfiles checks the profiles and returns their names.
func (checker *checker) checkProfiles(profiles []Profile, tiers nameSet) nameSet {
	names := nameSet{}
	for i, profile := range profiles {
		path := yamlfile.Path{"profiles", i}
		checker.checkName(path.At("name"), profile.Name, names)
		if !tiers.has(profile.Tier) {
			checker.AddFault(path.At("tier"), "%q is not a tier, allowed: %s", profile.Tier, tiers)
		}
		checker.checkDuration(path.At("deadline"), profile.Deadline, maxDeadline)
		checker.checkCount(path.At("outputTokens"), profile.OutputTokens, 1)
	}
	return names
}

func (checker *checker) checkWorkspaces(workspaces []Workspace) {
	names := nameSet{}
	hashes := nameSet{}
	for i, workspace := range workspaces {
		path := yamlfile.Path{"workspaces", i}
		checker.checkName(path.At("name"), workspace.Name, names)
		checker.checkCount(path.At("weight"), workspace.Weight, 1)
		checker.checkCount(path.At("waiting"), workspace.MaxWaiting, 0)
		// This form of the condition makes NaN a fault as well.
		if !(workspace.MaxRate >= 0 && workspace.MaxRate <= maxCount) {
			checker.AddFault(path.At("rate"), "is %g, allowed: 0 to %d", workspace.MaxRate, maxCount)
		}
		for j, hash := range workspace.TokenHashes {
			checker.checkTokenHash(path.At("tokenHashes", j), hash, hashes)
		}
	}
}

// checkTokenHash checks that a hash is a SHA-256 sum that is not in hashes yet, and
// adds it.
func (checker *checker) checkTokenHash(path yamlfile.Path, hash string, hashes nameSet) {
	decoded, err := hex.DecodeString(hash)
	if err != nil || len(decoded) != tokenHashBytes || strings.ToLower(hash) != hash {
		checker.AddFault(path, "is no SHA-256 sum in lower-case hexadecimal")
	}
	checker.checkName(path, hash, hashes)
}

func (checker *checker) checkPools(pools []Pool, profiles nameSet) {
	names := nameSet{}
	for i, pool := range pools {
		path := yamlfile.Path{"pools", i}
		checker.checkName(path.At("name"), pool.Name, names)
		if pool.Kind != KindModel && pool.Kind != KindService {
			checker.AddFault(path.At("kind"), "is %q, allowed: %s, %s", pool.Kind, KindModel, KindService)
		}
		if !profiles.has(pool.Profile) {
			checker.AddFault(path.At("profile"), "%q is not a profile, allowed: %s", pool.Profile, profiles)
		}
		for j, profile := range pool.Profiles {
			if !profiles.has(profile) {
				checker.AddFault(path.At("profiles", j), "%q is not a profile, allowed: %s", profile, profiles)
			}
		}
		checker.checkRegistered(path.At("policy"), pool.Policy, checker.registeredNames.Policies)
		checker.checkCount(path.At("waiting"), pool.MaxWaiting, 0)
		checker.checkTargets(path, pool.Targets)
	}
}

// checkTargets checks the targets of the pool at a path.
func (checker *checker) checkTargets(path yamlfile.Path, targets []Target) {
	names := nameSet{}
	addresses := nameSet{}
	for i, target := range targets {
		targetPath := path.At("targets", i)
		checker.checkName(targetPath.At("name"), target.Name, names)
		checker.checkAddress(targetPath.At("address"), target.Address, addresses)
		if target.Zone == "" {
			checker.AddFault(targetPath.At("zone"), "is missing")
		}
		if target.Protocol == "" {
			checker.AddFault(targetPath.At("protocol"), "is missing")
		} else {
			checker.checkRegistered(targetPath.At("protocol"), target.Protocol, checker.registeredNames.Protocols)
		}
		checker.checkCount(targetPath.At("slots"), target.Slots, 1)
	}
}

// checkAddress checks that an address is an HTTP base URL that is not in seen yet,
// and adds it. Addresses that differ only in a trailing slash count as the same.
func (checker *checker) checkAddress(path yamlfile.Path, address string, seen nameSet) {
	parsed, err := url.Parse(address)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		checker.AddFault(path, "%q is no URL such as http://10.0.0.1:8000", address)
		return
	}
	checker.checkName(path, strings.TrimSuffix(address, "/"), seen)
}

func (checker *checker) checkLimits(limits Limits) {
	path := yamlfile.Path{"limits"}
	checker.checkDuration(path.At("recordRetention"), limits.RecordRetention, maxRecordRetention)
	if limits.MaxAnswerBytes < 0 || limits.MaxAnswerBytes > maxAnswerBytes {
		checker.AddFault(path.At("recordAnswer"), "is %d, allowed: 0 to %d", limits.MaxAnswerBytes, maxAnswerBytes)
	}
}

// checkDuration checks that a duration is above 0 and at most the maximum.
func (checker *checker) checkDuration(path yamlfile.Path, duration, maximum time.Duration) {
	if duration <= 0 {
		checker.AddFault(path, "is %s, must be above 0", duration)
	}
	if duration > maximum {
		checker.AddFault(path, "is %s, at most %s", duration, maximum)
	}
}

// checkCount checks that a count is from the minimum to maxCount.
func (checker *checker) checkCount(path yamlfile.Path, count, minimum int) {
	if count < minimum {
		checker.AddFault(path, "is %d, must be at least %d", count, minimum)
	}
	if count > maxCount {
		checker.AddFault(path, "is %d, at most %d", count, maxCount)
	}
}

// checkRegistered checks that a name is in the list of registered names. It accepts
// any name if the list is empty.
func (checker *checker) checkRegistered(path yamlfile.Path, name string, registered []string) {
	if len(registered) > 0 && !slices.Contains(registered, name) {
		checker.AddFault(path, "%q is not known, allowed: %s", name, strings.Join(registered, ", "))
	}
}

// checkName checks that a name has from 1 to maxNameBytes printable ASCII characters
// without spaces and is not in seen yet, and adds it.
func (checker *checker) checkName(path yamlfile.Path, name string, seen nameSet) {
	if name == "" {
		checker.AddFault(path, "is missing")
		return
	}
	if len(name) > maxNameBytes {
		checker.AddFault(path, "has %d bytes, at most %d", len(name), maxNameBytes)
	}
	if strings.ContainsFunc(name, func(letter rune) bool { return letter <= ' ' || letter > '~' }) {
		checker.AddFault(path, "%q holds a character other than printable ASCII without spaces", name)
	}
	if seen.has(name) {
		checker.AddFault(path, "%q stands twice", name)
	}
	seen[name] = struct{}{}
}
