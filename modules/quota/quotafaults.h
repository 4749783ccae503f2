#pragma once

namespace Pimentohollow
{

/** Switches single mechanisms off, so that tests can see the properties fail without them. All are false in production. */
struct QuotaFaults {
    bool newHolderStartsFull = false;
    bool giverKeepsTokens = false;
    bool giverKeepsCapacity = false;
    bool lateGrantsAccepted = false;
    bool repeatedGrantsAccepted = false;
    bool leaseIgnored = false;
    bool splitIgnored = false;
    bool reclaimWithoutWaiting = false;
};

} // namespace Pimentohollow
