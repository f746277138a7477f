/*
 * Unit tests of the published state as this host has it, after its source was restored from an older copy.
 */
#include "discovery/Registry.h"
#include "scenario/ManualTime.h"

#include <catch2/catch.hpp>

using namespace magnoliaspan;
using namespace magnoliaspan::testing;

namespace {

TargetEntry entryOf(const std::string &id, std::int64_t writeNumber, TargetStage stage = TargetStage::Ready, std::int64_t startedAt = 100)
{
    TargetEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.address = {"10.0.0.9", 80};
    entry.zone = "z";
    entry.stage = stage;
    entry.startedAt = startedAt;
    entry.writeNumber = writeNumber;
    return entry;
}

/// A registry that has read the state of era 1.
struct RegistryFixture {
    explicit RegistryFixture(std::vector<DiscoveryChange> changes)
    {
        read(1, std::move(changes));
    }

    /// Applies the whole state as of \p era.
    void read(std::int64_t era, std::vector<DiscoveryChange> changes)
    {
        DiscoveryReadResult result;
        result.position = {era, 10};
        result.complete = true;
        result.changes = std::move(changes);
        // Entries that lapse are kept after a restore, as the controller starts a grace period then.
        registry.apply(result, era != lastEra_);
        lastEra_ = era;
    }

    /// Applies one change of the present era.
    void change(DiscoveryChange change)
    {
        DiscoveryReadResult result;
        result.position = {lastEra_, 11};
        result.changes = {std::move(change)};
        registry.apply(result, false);
    }

    bool isReady(const std::string &id) const
    {
        const auto found = registry.targets().find(id);
        return found != registry.targets().end() && found->second.stage == TargetStage::Ready;
    }

    ManualTime time;
    ProcessTime process{time, {}};
    Journal journal{process, [](std::string_view) {}, 100};
    Registry registry{journal};

private:
    std::int64_t lastEra_ = 1;
};

} // namespace

// Guards against requests to targets that had left, which an older copy of the published state still lists.
TEST_CASE("registry: pattern restored copy, a target that has left is not used again until it is published anew")
{
    RegistryFixture fixture({TargetPublished{entryOf("t1", 5)}, TargetPublished{entryOf("t2", 5)}});
    fixture.change(TargetRemoved{"t1"});
    fixture.read(2, {TargetPublished{entryOf("t1", 5)}, TargetPublished{entryOf("t2", 5)}});
    CHECK_FALSE(fixture.isReady("t1"));
    CHECK(fixture.isReady("t2"));
    fixture.registry.removeLapsed(fixture.registry.lastLapse());
    CHECK_FALSE(fixture.isReady("t1"));
    fixture.read(2, {TargetPublished{entryOf("t1", 5)}, TargetPublished{entryOf("t2", 5)}});
    CHECK_FALSE(fixture.isReady("t1"));
    SECTION("a change says so")
    {
        fixture.change(TargetPublished{entryOf("t1", 5)});
        CHECK(fixture.isReady("t1"));
    }
    SECTION("a later entry is listed")
    {
        fixture.read(2, {TargetPublished{entryOf("t1", 6)}, TargetPublished{entryOf("t2", 5)}});
        CHECK(fixture.isReady("t1"));
    }
    SECTION("another start is listed")
    {
        fixture.read(2, {TargetPublished{entryOf("t1", 1, TargetStage::Ready, 200)}, TargetPublished{entryOf("t2", 5)}});
        CHECK(fixture.isReady("t1"));
    }
}

TEST_CASE("registry: a list that broke off removes nothing, and like a whole one does not bring back a target that has left")
{
    RegistryFixture fixture({TargetPublished{entryOf("t1", 5)}, TargetPublished{entryOf("t2", 5)}, ZoneEvacuation{"z", true}});
    fixture.change(TargetRemoved{"t1"});
    DiscoveryReadResult part;
    part.error = std::make_error_code(std::errc::io_error);
    part.brokenOff = true;
    part.position = {2, 10};
    part.changes = {TargetPublished{entryOf("t1", 5)}, TargetPublished{entryOf("t3", 1)}};
    fixture.registry.apply(part, true);
    CHECK_FALSE(fixture.isReady("t1"));
    CHECK(fixture.isReady("t2"));
    CHECK(fixture.isReady("t3"));
    CHECK(fixture.registry.isEvacuated("z"));
}

TEST_CASE("registry: a target that left and is listed again in the same era is used again")
{
    RegistryFixture fixture({TargetPublished{entryOf("t1", 5)}});
    fixture.change(TargetRemoved{"t1"});
    fixture.read(1, {TargetPublished{entryOf("t1", 5)}});
    CHECK(fixture.isReady("t1"));
}

// Guards against new requests to targets that are about to leave.
TEST_CASE("registry: pattern restored copy, a draining target does not become ready by an entry that it wrote before")
{
    RegistryFixture fixture({TargetPublished{entryOf("t1", 5)}});
    fixture.change(TargetPublished{entryOf("t1", 8, TargetStage::Draining)});
    fixture.read(2, {TargetPublished{entryOf("t1", 5)}});
    CHECK_FALSE(fixture.isReady("t1"));
    fixture.registry.removeLapsed(fixture.registry.lastLapse());
    CHECK_FALSE(fixture.isReady("t1"));
    CHECK(fixture.registry.targets().contains("t1"));
    fixture.change(TargetPublished{entryOf("t1", 1, TargetStage::Ready, 200)});
    CHECK(fixture.isReady("t1"));
}

TEST_CASE("registry: pattern restored copy, the start before the present one is not used again")
{
    RegistryFixture fixture({TargetPublished{entryOf("t1", 50)}});
    fixture.change(TargetPublished{entryOf("t1", 2, TargetStage::Ready, 200)});
    fixture.read(2, {TargetPublished{entryOf("t1", 50)}});
    CHECK(fixture.registry.targets().at("t1").startedAt == 200);
}

TEST_CASE("registry: pattern restored copy, a target that registered since the copy was made is kept until it had time to return")
{
    RegistryFixture fixture({TargetPublished{entryOf("t1", 5)}});
    fixture.change(TargetPublished{entryOf("t2", 1)});
    fixture.read(2, {TargetPublished{entryOf("t1", 5)}});
    CHECK(fixture.isReady("t2"));
    SECTION("it returns")
    {
        fixture.change(TargetPublished{entryOf("t2", 4)});
        fixture.registry.removeLapsed(fixture.registry.lastLapse());
        CHECK(fixture.isReady("t2"));
    }
    SECTION("it does not")
    {
        fixture.registry.removeLapsed(fixture.registry.lastLapse());
        CHECK_FALSE(fixture.isReady("t2"));
    }
}

// Guards against requests to an evacuated zone, whose evacuation an older copy does not have yet.
TEST_CASE("registry: pattern restored copy, an evacuation holds until the operator had time to publish it again")
{
    RegistryFixture fixture({});
    fixture.change(ZoneEvacuation{"z", true});
    fixture.read(2, {});
    CHECK(fixture.registry.isEvacuated("z"));
    SECTION("it is published again")
    {
        fixture.change(ZoneEvacuation{"z", true});
        fixture.registry.settle();
        CHECK(fixture.registry.isEvacuated("z"));
        fixture.read(2, {});
        CHECK_FALSE(fixture.registry.isEvacuated("z"));
    }
    SECTION("it is not")
    {
        fixture.registry.settle();
        CHECK_FALSE(fixture.registry.isEvacuated("z"));
    }
    SECTION("it is cancelled")
    {
        fixture.change(ZoneEvacuation{"z", false});
        CHECK_FALSE(fixture.registry.isEvacuated("z"));
    }
}

TEST_CASE("registry: pattern restored copy, a cancelled evacuation is in force again only if it is still published after a while")
{
    RegistryFixture fixture({ZoneEvacuation{"z", true}});
    fixture.change(ZoneEvacuation{"z", false});
    fixture.read(2, {ZoneEvacuation{"z", true}, ZoneEvacuation{"y", true}});
    CHECK_FALSE(fixture.registry.isEvacuated("z"));
    CHECK(fixture.registry.isEvacuated("y"));
    SECTION("its end is published again")
    {
        fixture.change(ZoneEvacuation{"z", false});
        fixture.registry.settle();
        CHECK_FALSE(fixture.registry.isEvacuated("z"));
    }
    SECTION("it is not")
    {
        fixture.registry.settle();
        CHECK(fixture.registry.isEvacuated("z"));
    }
}
