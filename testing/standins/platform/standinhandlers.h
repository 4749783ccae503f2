#pragma once

#include "standins/platform/standinbehaviour.h"
#include "storage/storage.h"

#include <functional>
#include <memory>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

namespace Pimentohollow
{

/** State that the handlers of one stand-in share. */
struct StandinState {
    std::string accessKeyId;
    std::string secretAccessKey;
    StandinControl control;
    MemoryTableService table;
    MemoryObjectStore objects;
};

/** Handles the table protocol (POST /) and the object protocol (/bucket/key). */
Poco::Net::HTTPRequestHandlerFactory::Ptr makeServiceHandlers(const std::shared_ptr<StandinState> &state);

/** Handles GET and PUT on /behaviour, which shows the counters and sets a StandinBehaviour given as JSON. */
Poco::Net::HTTPRequestHandlerFactory::Ptr makeControlHandlers(const std::shared_ptr<StandinState> &state,
                                                              std::function<void(const StandinBehaviour &)> set);

} // namespace Pimentohollow
