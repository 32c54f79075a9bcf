# Compile and link settings that every target shares, and the three kinds of target.

add_library(stairspur_settings INTERFACE)
target_include_directories(stairspur_settings INTERFACE ${CMAKE_SOURCE_DIR}/include)
target_compile_options(stairspur_settings INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor
    -fno-omit-frame-pointer)
target_link_options(stairspur_settings INTERFACE -fuse-ld=lld)
target_link_libraries(stairspur_settings INTERFACE Threads::Threads)
# The libraries' headers are not ours to warn about.
target_include_directories(stairspur_settings SYSTEM INTERFACE ${Boost_INCLUDE_DIRS})
if(STAIRSPUR_SANITIZE)
    target_compile_options(stairspur_settings INTERFACE -fsanitize=${STAIRSPUR_SANITIZE} -fno-sanitize-recover=all)
    target_link_options(stairspur_settings INTERFACE -fsanitize=${STAIRSPUR_SANITIZE})
endif()

# Everything is instrumented for the fuzzer, which steers by the code that an input reaches.
if(STAIRSPUR_FUZZ)
    target_compile_options(stairspur_settings INTERFACE -fsanitize=fuzzer-no-link)
endif()

# stairspur_library(name PUBLIC targets...): the library stairspur_<name> from source/<name>/*.cpp.
# A module of headers alone becomes an interface library.
function(stairspur_library name)
    cmake_parse_arguments(ARG "" "" "PUBLIC" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/source/${name}/*.cpp)
    if(sources)
        add_library(stairspur_${name} STATIC ${sources})
        target_include_directories(stairspur_${name} PRIVATE ${CMAKE_SOURCE_DIR}/source/${name})
        target_link_libraries(stairspur_${name} PUBLIC stairspur_settings ${ARG_PUBLIC})
    else()
        add_library(stairspur_${name} INTERFACE)
        target_link_libraries(stairspur_${name} INTERFACE stairspur_settings ${ARG_PUBLIC})
    endif()
endfunction()

# stairspur_program(name folder libraries...): an executable from <folder>/*.cpp.
function(stairspur_program name folder)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${folder}/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE stairspur_settings ${ARGN})
endfunction()

# stairspur_test(module libraries...): the Criterion program test_<module> from tests/<module>/*.cpp.
function(stairspur_test module)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${module}/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(test_${module} ${sources})
    target_include_directories(test_${module} PRIVATE ${CMAKE_SOURCE_DIR}/tests ${CMAKE_SOURCE_DIR}/tests/${module})
    target_link_libraries(test_${module} PRIVATE stairspur_${module} stairspur_settings PkgConfig::criterion ${ARGN})
    if(STAIRSPUR_SANITIZE STREQUAL "thread")
        target_sources(test_${module} PRIVATE ${CMAKE_SOURCE_DIR}/tests/sanitize/InProcessRunner.cpp)
    endif()
    add_test(NAME ${module} COMMAND test_${module})
endfunction()

# stairspur_fuzz(edge sources... LIBRARIES libraries...): the libFuzzer program fuzz_<edge> from tests/fuzz/<edge>/main.cpp
# and the sources that it needs of modules with sockets, whose whole libraries would be built for nothing.
function(stairspur_fuzz edge)
    cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
    list(TRANSFORM ARG_UNPARSED_ARGUMENTS PREPEND ${CMAKE_SOURCE_DIR}/source/)
    add_executable(fuzz_${edge} ${CMAKE_SOURCE_DIR}/tests/fuzz/${edge}/main.cpp ${ARG_UNPARSED_ARGUMENTS})
    target_link_libraries(fuzz_${edge} PRIVATE stairspur_settings stairspur_core ${ARG_LIBRARIES})
    target_link_options(fuzz_${edge} PRIVATE -fsanitize=fuzzer)
    add_dependencies(fuzz fuzz_${edge})
endfunction()
