#include "storage/memory/memoryobjectstore.h"

namespace Pimentohollow
{

MemoryObjectStore::MemoryObjectStore(std::shared_ptr<FaultInjector> faults)
    : m_faults(std::move(faults))
{
}

Result<std::optional<std::string>> MemoryObjectStore::get(const std::string &key)
{
    if (key.empty()) {
        return failure(ErrorKind::InvalidInput, "object.get", "an object key must not be empty", "memory");
    }
    if (const auto fault = m_faults->take("object.get"); fault != PlatformFault::None) {
        return tl::make_unexpected(FaultInjector::error(fault, "object.get"));
    }
    const std::lock_guard lock(m_mutex);
    const auto it = m_objects.find(key);
    return it == m_objects.end() ? std::optional<std::string>() : it->second;
}

Result<void> MemoryObjectStore::put(const std::string &key, const std::string &content)
{
    return write("object.put", key, [&] {
        m_objects[key] = content;
    });
}

Result<void> MemoryObjectStore::remove(const std::string &key)
{
    return write("object.remove", key, [&] {
        m_objects.erase(key);
    });
}

template <typename Change>
Result<void> MemoryObjectStore::write(const std::string &step, const std::string &key, Change &&change)
{
    if (key.empty()) {
        return failure(ErrorKind::InvalidInput, step, "an object key must not be empty", "memory");
    }
    const PlatformFault fault = m_faults->take(step);
    if (fault == PlatformFault::None || fault == PlatformFault::LostAnswer) {
        const std::lock_guard lock(m_mutex);
        change();
    }
    if (fault != PlatformFault::None) {
        return tl::make_unexpected(FaultInjector::error(fault, step));
    }
    return {};
}

} // namespace Pimentohollow
