#pragma once

#include "core/error.h"

#include <optional>
#include <string>

namespace Pimentohollow
{

/**
 * The object store of the users' platform. Objects are replaced whole.
 * Errors as for TableService. Implementations may be called from several threads.
 * @see HttpObjectStore, MemoryObjectStore
 */
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    /** The whole object, or nothing if there is none; never a part of it. */
    virtual Result<std::optional<std::string>> get(const std::string &key) = 0;

    virtual Result<void> put(const std::string &key, const std::string &content) = 0;

    /** Removes the object; no error if there is none. */
    virtual Result<void> remove(const std::string &key) = 0;
};

} // namespace Pimentohollow
