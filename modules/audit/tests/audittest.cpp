#include "audit/audit.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Pimentohollow;

namespace
{

constexpr std::uint64_t ChainLength = 12;

std::vector<AuditEntry> makeChain()
{
    std::vector<AuditEntry> entries;
    std::string previous;
    for (std::uint64_t n = 1; n <= ChainLength; ++n) {
        const std::string number = std::to_string(n);
        AuditEntry entry{ n, "maria", "2026-12-04T03:00:00Z", "change-" + number, "reason \"" + number + "\"", {}, "", "" };
        entry.changes = { "set account/a" + number + " {\"rate\": 5}", "remove route/r" + number };
        entries.push_back(sealEntry(entry, previous));
        previous = entries.back().hash;
    }
    return entries;
}

AuditAnchor anchorOf(const std::vector<AuditEntry> &entries)
{
    return { 0, "", entries.back().version, entries.back().hash };
}

bool names(const std::vector<AuditFinding> &findings, std::uint64_t first, std::uint64_t second)
{
    return std::any_of(findings.begin(), findings.end(), [=](const AuditFinding &it) {
        return it.version == first || it.version == second;
    });
}

void edit(AuditEntry &entry, unsigned field)
{
    switch (field) {
    case 0:
        entry.author += "x";
        break;
    case 1:
        entry.time = "2027-01-01T00:00:00Z";
        break;
    case 2:
        entry.changeId.clear();
        break;
    case 3:
        entry.reason.pop_back();
        break;
    case 4:
        entry.changes.pop_back();
        break;
    case 5:
        // Moves a byte from one field to the next, which a hash over plain concatenation would miss.
        entry.author += entry.time.front();
        entry.time.erase(0, 1);
        break;
    default:
        entry.previousHash[0] = entry.previousHash[0] == '0' ? '1' : '0';
        break;
    }
}

} // namespace

// Guards against findings in a chain that nobody touched.
TEST(AuditChainTest, AcceptsAnIntactChain)
{
    const auto entries = makeChain();
    EXPECT_TRUE(AuditChain(entries).verify(anchorOf(entries)).empty());
    const std::vector<AuditEntry> later(entries.begin() + 5, entries.end());
    EXPECT_TRUE(AuditChain(later).verify({ 5, entries[4].hash, ChainLength, entries.back().hash }).empty());
}

// Guards against an edit that the chain doesn't show, also when the editor computes the hash anew.
RC_GTEST_PROP(AuditChainProperty, FindsAndNamesAnyEdit, ())
{
    auto entries = makeChain();
    const auto anchor = anchorOf(entries);
    const auto at = *rc::gen::inRange<std::size_t>(1, ChainLength);
    edit(entries[at], *rc::gen::inRange(0U, 7U));
    if (*rc::gen::arbitrary<bool>()) {
        entries[at].hash = entryHash(entries[at]);
    }
    const auto findings = AuditChain(entries).verify(anchor);
    RC_ASSERT(names(findings, at + 1, at + 2));
}

// Guards against entries that disappear, also at the end.
RC_GTEST_PROP(AuditChainProperty, FindsAndNamesAnyRemoval, ())
{
    auto entries = makeChain();
    const auto anchor = anchorOf(entries);
    const auto at = *rc::gen::inRange<std::size_t>(0, ChainLength);
    entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(at));
    const auto findings = AuditChain(entries).verify(anchor);
    RC_ASSERT(names(findings, at + 1, at + 2));
    RC_ASSERT(findings.front().message.find(std::to_string(at + 1)) != std::string::npos);
}

// Guards against entries that change places or are repeated.
RC_GTEST_PROP(AuditChainProperty, FindsAnyReordering, ())
{
    auto entries = makeChain();
    const auto anchor = anchorOf(entries);
    const auto first = *rc::gen::inRange<std::size_t>(0, ChainLength);
    const auto second = *rc::gen::inRange<std::size_t>(0, ChainLength);
    RC_PRE(first != second);
    if (*rc::gen::arbitrary<bool>()) {
        std::swap(entries[first], entries[second]);
    } else {
        entries[first] = entries[second];
    }
    RC_ASSERT(!AuditChain(entries).verify(anchor).empty());
}

// Guards against an export that an auditor can't check.
TEST(AuditEntryTest, LinesReadBack)
{
    for (const auto &it : makeChain()) {
        const auto back = parseEntry(writeEntry(it));
        ASSERT_TRUE(back);
        EXPECT_EQ(*back, it);
        EXPECT_THAT(writeEntry(it), testing::Not(testing::HasSubstr("\n")));
    }
}

// Guards against crashes on a damaged export.
RC_GTEST_PROP(AuditEntryProperty, ParserNeverCrashes, (const std::string &noise))
{
    std::string line = writeEntry(makeChain().front());
    for (const char it : noise) {
        line[static_cast<unsigned char>(it) % line.size()] = it;
    }
    parseEntry(line);
    parseEntry(noise);
}
