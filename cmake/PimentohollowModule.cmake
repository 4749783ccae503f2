# Helpers that keep the CMakeLists.txt of the modules short.

set(PIMENTOHOLLOW_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual -Werror)

function(pimentohollow_compile_options target)
    target_compile_options(${target} PRIVATE ${PIMENTOHOLLOW_WARNINGS})
    if(PIMENTOHOLLOW_SANITIZERS)
        target_compile_options(${target} PRIVATE -fsanitize=${PIMENTOHOLLOW_SANITIZERS} -fno-omit-frame-pointer)
        target_link_options(${target} PRIVATE -fsanitize=${PIMENTOHOLLOW_SANITIZERS})
    endif()
endfunction()

# Adds the static library pimentohollow_<name> from all sources below the current folder except tests/.
# Usage: pimentohollow_add_module(<name> [LINK <libraries>...])
function(pimentohollow_add_module name)
    cmake_parse_arguments(arg "" "" "LINK" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    list(FILTER sources EXCLUDE REGEX "/tests/")
    if(sources)
        add_library(pimentohollow_${name} STATIC ${sources})
        target_include_directories(pimentohollow_${name} PUBLIC ${CMAKE_SOURCE_DIR}/modules)
        target_link_libraries(pimentohollow_${name} PUBLIC ${arg_LINK} Threads::Threads)
        pimentohollow_compile_options(pimentohollow_${name})
    else()
        add_library(pimentohollow_${name} INTERFACE)
        target_include_directories(pimentohollow_${name} INTERFACE ${CMAKE_SOURCE_DIR}/modules)
        target_link_libraries(pimentohollow_${name} INTERFACE ${arg_LINK} Threads::Threads)
    endif()
    if(PIMENTOHOLLOW_BUILD_TESTS AND EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/tests)
        pimentohollow_add_tests(${name} LINK pimentohollow_${name})
    endif()
endfunction()

# Adds the test program <name>_tests from tests/*.cpp of the current folder and registers each of its tests with
# CTest as <name>.<suite>.<test>, so that KNOWN-RED.txt can name a single one.
# RC_PARAMS fixes the seed of the property tests, so that every run gives the same verdict.
function(pimentohollow_add_tests name)
    cmake_parse_arguments(arg "" "" "LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(${name}_tests ${sources})
    target_link_libraries(${name}_tests PRIVATE ${arg_LINK} ${RAPIDCHECK_LIBRARY} GTest::gmock GTest::gtest GTest::gtest_main)
    pimentohollow_compile_options(${name}_tests)
    gtest_discover_tests(${name}_tests TEST_PREFIX "${name}." NO_PRETTY_VALUES DISCOVERY_TIMEOUT 60
                         PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300)
endfunction()

# Adds a program from the sources in the current folder. Usage: pimentohollow_add_program(<name> [LINK <libraries>...])
function(pimentohollow_add_program name)
    cmake_parse_arguments(arg "" "" "LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/modules)
    target_link_libraries(${name} PRIVATE ${arg_LINK} Threads::Threads)
    pimentohollow_compile_options(${name})
endfunction()
