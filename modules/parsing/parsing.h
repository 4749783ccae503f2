/**
 * @file
 * Public parts of the module parsing: YAML documents with checked fields, and the texts of their values.
 */
#pragma once

#include "parsing/endpointscalar.h"
#include "parsing/fieldreader.h"
#include "parsing/fieldwriter.h"
#include "parsing/finding.h"
#include "parsing/scalars.h"
#include "parsing/textfile.h"
