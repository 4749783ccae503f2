#pragma once

#include "storage/interfaces/objectstore.h"
#include "storage/memory/faultinjector.h"

#include <map>
#include <memory>
#include <mutex>

namespace Pimentohollow
{

/** ObjectStore in the memory of the process, for tests and stand-ins. */
class MemoryObjectStore : public ObjectStore
{
public:
    /** @param faults shared with the test that injects them */
    explicit MemoryObjectStore(std::shared_ptr<FaultInjector> faults = std::make_shared<FaultInjector>());

    Result<std::optional<std::string>> get(const std::string &key) override;
    Result<void> put(const std::string &key, const std::string &content) override;
    Result<void> remove(const std::string &key) override;

private:
    /** Runs @p change unless a fault stops it. */
    template <typename Change>
    Result<void> write(const std::string &step, const std::string &key, Change &&change);

    std::shared_ptr<FaultInjector> m_faults;
    std::mutex m_mutex;
    std::map<std::string, std::string> m_objects;
};

} // namespace Pimentohollow
