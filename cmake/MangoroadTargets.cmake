# Functions that add a library, a test, a benchmark and a fuzz target with the settings of the project.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED COMPONENTS Crypto)
find_package(fmt REQUIRED)

add_library(mangoroad_options INTERFACE)
# Designated initializers leave out members on purpose.
target_compile_options(mangoroad_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror
  -Wno-missing-field-initializers)
target_compile_definitions(mangoroad_options INTERFACE SPDLOG_FMT_EXTERNAL SPDLOG_COMPILED_LIB MSGPACK_NO_BOOST)
target_include_directories(mangoroad_options INTERFACE "${PROJECT_SOURCE_DIR}/src/libs")

# mangoroad_add_library(NAME SOURCES ... DEPENDS ...): library mangoroad_<NAME> in src/libs/<NAME>.
# DEPENDS names project libraries without the prefix, LINKS names outside libraries.
function(mangoroad_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LINKS" ${ARGN})
  add_library(mangoroad_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(mangoroad_${name} PUBLIC mangoroad_options)
  foreach(dependency IN LISTS ARG_DEPENDS)
    target_link_libraries(mangoroad_${name} PUBLIC mangoroad_${dependency})
  endforeach()
  target_link_libraries(mangoroad_${name} PRIVATE ${ARG_LINKS})
endfunction()

# mangoroad_add_program(NAME SOURCES ... DEPENDS ... LINKS ...): program NAME.
function(mangoroad_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LINKS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE mangoroad_options ${ARG_LINKS})
  foreach(dependency IN LISTS ARG_DEPENDS)
    target_link_libraries(${name} PRIVATE mangoroad_${dependency})
  endforeach()
endfunction()

# mangoroad_add_test(MODULE SOURCES ... DEPENDS ... LINKS ...): one Catch2 program tst_<MODULE>.
function(mangoroad_add_test module)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LINKS" ${ARGN})
  mangoroad_add_program(tst_${module} SOURCES ${ARG_SOURCES} DEPENDS ${ARG_DEPENDS}
    LINKS mangoroad_test_main ${ARG_LINKS})
  target_compile_definitions(tst_${module} PRIVATE MANGOROAD_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  add_test(NAME ${module} COMMAND tst_${module})
  set_tests_properties(${module} PROPERTIES TIMEOUT 300)
endfunction()

# mangoroad_add_sanitized_test(NAME SOURCES ... LIBRARIES ... LINKS ...): a program tst_<NAME> built with the address and
# undefined behaviour sanitizers, from SOURCES and all sources of the project libraries LIBRARIES. A run ends at the first
# report.
function(mangoroad_add_sanitized_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES;LINKS" ${ARGN})
  set(sources ${ARG_SOURCES} "${PROJECT_SOURCE_DIR}/tests/test_main.cc")
  foreach(library IN LISTS ARG_LIBRARIES)
    get_target_property(library_sources mangoroad_${library} SOURCES)
    list(TRANSFORM library_sources PREPEND "${PROJECT_SOURCE_DIR}/src/libs/${library}/")
    list(APPEND sources ${library_sources})
  endforeach()
  # Without mangoroad_options and its -Werror: GCC 12 reports false positives in sanitized code, and all sources are
  # compiled with the project's warnings elsewhere.
  add_executable(tst_${name} ${sources})
  target_include_directories(tst_${name} PRIVATE
    $<TARGET_PROPERTY:mangoroad_options,INTERFACE_INCLUDE_DIRECTORIES>)
  target_compile_definitions(tst_${name} PRIVATE
    $<TARGET_PROPERTY:mangoroad_options,INTERFACE_COMPILE_DEFINITIONS>)
  target_link_libraries(tst_${name} PRIVATE ${ARG_LINKS})
  target_compile_options(tst_${name} PRIVATE -O1 -g1 -fsanitize=address,undefined
    -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
  target_link_options(tst_${name} PRIVATE -fsanitize=address,undefined)
  add_test(NAME ${name} COMMAND tst_${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# mangoroad_add_benchmark(NAME SOURCES ... DEPENDS ...): a Google Benchmark program bench_<NAME>.
function(mangoroad_add_benchmark name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LINKS" ${ARGN})
  mangoroad_add_program(bench_${name} SOURCES ${ARG_SOURCES} DEPENDS ${ARG_DEPENDS}
    LINKS benchmark::benchmark ${ARG_LINKS})
endfunction()

# mangoroad_add_fuzzer(NAME SOURCES ... DEPENDS ...): a libFuzzer program fuzz_<NAME>; only in the fuzz preset.
function(mangoroad_add_fuzzer name)
  if(NOT MANGOROAD_FUZZ)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LINKS" ${ARGN})
  mangoroad_add_program(fuzz_${name} SOURCES ${ARG_SOURCES} DEPENDS ${ARG_DEPENDS} LINKS ${ARG_LINKS})
  target_link_options(fuzz_${name} PRIVATE -fsanitize=fuzzer,address)
endfunction()
