#pragma once

#include "configuration/fleet/entities.h"
#include "parsing/scalars.h"

namespace Pimentohollow
{

/*
 * The fields of each entity, listed once for both directions. Fields is FieldReader or FieldWriter; the entity is
 * const when it is written.
 */

/** Bounds of rates; the lower one is one request in about 17 minutes. */
inline constexpr Range RateRange{ 0.001, 1e7 };
inline constexpr Range BurstRange{ 1, 1e7 };
inline constexpr Range RetriesRange{ 0, 10 };
inline constexpr Range LimitRange{ 1, 1e6 };
inline constexpr Range QueueRange{ 0, 1e6 };
inline constexpr Range DeadlineRange = durationRange(std::chrono::milliseconds(1), std::chrono::hours(1));
inline constexpr Range RetryAfterRange = durationRange(std::chrono::milliseconds(100), std::chrono::minutes(10));

template <typename Fields>
void describeFields(Fields &fields, auto &entity, const ServiceEntity &)
{
    fields.required("name", entity.name);
    fields.optional("minimum_limit", entity.minimumLimit, LimitRange);
    fields.optional("initial_limit", entity.initialLimit, LimitRange);
    fields.optional("maximum_limit", entity.maximumLimit, LimitRange);
    fields.optional("queue_length", entity.queueLength, QueueRange);
}

template <typename Fields>
void describeFields(Fields &fields, auto &entity, const RouteEntity &)
{
    fields.required("name", entity.name);
    fields.required("service", entity.service);
    fields.required("path_prefix", entity.pathPrefix);
    fields.list("methods", entity.methods);
    fields.optional("idempotent", entity.idempotent);
    fields.optional("important", entity.important);
    fields.optional("open_to_all", entity.openToAll);
    fields.optional("deadline", entity.deadline, DeadlineRange);
    fields.optional("retries", entity.retries, RetriesRange);
}

template <typename Fields>
void describeFields(Fields &fields, auto &entity, const AccountEntity &)
{
    fields.required("name", entity.name);
    fields.required("rate", entity.rate, RateRange);
    fields.required("burst", entity.burst, BurstRange);
}

template <typename Fields>
void describeFields(Fields &fields, auto &entity, const DataCentreEntity &)
{
    fields.required("name", entity.name);
    fields.optional("region", entity.region);
}

template <typename Fields>
void describeFields(Fields &fields, auto &entity, const DefaultsEntity &)
{
    fields.choice("policy_profile", entity.policyProfile, PolicyProfileNames);
    fields.optional("deadline", entity.deadline, DeadlineRange);
    fields.optional("maximum_deadline", entity.maximumDeadline, DeadlineRange);
    fields.optional("retries", entity.retries, RetriesRange);
    fields.optional("retry_ratio", entity.retryRatio, Range{ 0, 1 });
    fields.optional("retry_after", entity.retryAfter, RetryAfterRange);
    fields.optional("minimum_limit", entity.limits.minimumLimit, LimitRange);
    fields.optional("initial_limit", entity.limits.initialLimit, LimitRange);
    fields.optional("maximum_limit", entity.limits.maximumLimit, LimitRange);
    fields.optional("queue_length", entity.limits.queueLength, QueueRange);
}

template <typename Fields>
void describeFields(Fields &fields, auto &entity, const ExceptionEntity &)
{
    fields.required("name", entity.name);
    fields.required("reason", entity.reason);
    fields.optional("expires", entity.expires);
    fields.optional("account", entity.account);
    fields.optional("route", entity.route);
    fields.optional("service", entity.service);
    fields.optional("data_centre", entity.dataCentre);
    fields.optional("rate", entity.rate, RateRange);
    fields.optional("burst", entity.burst, BurstRange);
    fields.optional("deadline", entity.deadline, DeadlineRange);
    fields.optional("retries", entity.retries, RetriesRange);
    fields.optional("maximum_limit", entity.maximumLimit, LimitRange);
    fields.optional("queue_length", entity.queueLength, QueueRange);
    fields.optional("serve_when_cut_off", entity.serveWhenCutOff);
}

template <typename Fields>
void describeFields(Fields &fields, auto &entity, const KeyEntity &)
{
    fields.required("id", entity.id);
    fields.required("account", entity.account);
    fields.required("digest", entity.digest);
    fields.optional("withdrawn", entity.withdrawn);
    fields.optional("withdrawal_reason", entity.withdrawalReason);
}

template <typename Fields>
void describeFields(Fields &fields, auto &entity, const DrainEntity &)
{
    fields.required("node", entity.node);
    fields.choice("mode", entity.mode, DrainModeNames);
    fields.required("reason", entity.reason);
    fields.optional("incarnation", entity.incarnation);
}

} // namespace Pimentohollow
