#pragma once

#include "storage/storage.h"

#include <string>

namespace Pimentohollow
{

/** Answer of the stand-in's table service: a status and a JSON body. */
struct StandinAnswer {
    int status = 200;
    std::string body;
};

/** Executes one request of the table protocol on @p table. @param operation for example "GetItem" */
StandinAnswer executeTableRequest(TableService &table, const std::string &operation, const std::string &body);

/** An error in the form of the protocol. @param type for example "ValidationException" */
StandinAnswer tableFault(const std::string &type, const std::string &message);

} // namespace Pimentohollow
