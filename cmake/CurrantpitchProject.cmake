# Defines how libraries, test programs and programs are built.

add_compile_options(-Wall -Wextra -Werror -Wno-psabi
                    # False positives of g++ 12 in inlined library code.
                    -Wno-stringop-overread -Wno-maybe-uninitialized -Wno-mismatched-new-delete)
add_compile_definitions(BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_BOOST_COROUTINE
                        BOOST_BEAST_USE_STD_STRING_VIEW)

set(CURRANTPITCH_PRECOMPILED ${CMAKE_CURRENT_LIST_DIR}/precompiled.h)

# All targets share one precompiled header, which the library core builds.
function(currantpitch_use_precompiled name)
    if(name STREQUAL "core")
        target_precompile_headers(core PRIVATE ${CURRANTPITCH_PRECOMPILED})
    else()
        target_precompile_headers(${name} REUSE_FROM core)
    endif()
endfunction()

# currantpitch_add_library(NAME SOURCES ... DEPENDS ... TESTS ...)
# Builds the library NAME from the listed files and, if TESTS is given, its test program tst_NAME.
function(currantpitch_add_library name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS;TESTS;TEST_DEPENDS" ${ARGN})
    add_library(${name} STATIC ${arg_SOURCES})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
    target_link_libraries(${name} PUBLIC ${arg_DEPENDS} Threads::Threads)
    currantpitch_use_precompiled(${name})
    if(arg_TESTS AND CURRANTPITCH_TESTS)
        add_executable(tst_${name} ${arg_TESTS})
        target_include_directories(tst_${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
        target_link_libraries(tst_${name} PRIVATE ${name} testsupport ${arg_TEST_DEPENDS})
        currantpitch_use_precompiled(tst_${name})
        add_test(NAME tst_${name} COMMAND tst_${name})

    endif()
endfunction()

# currantpitch_add_program(NAME SOURCES ... DEPENDS ... [INSTALL])
# Builds the program NAME from the listed files. INSTALL adds it to the installation.
function(currantpitch_add_program name)
    cmake_parse_arguments(arg "INSTALL" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${arg_SOURCES})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/src/apps
                               ${PROJECT_SOURCE_DIR}/bench ${PROJECT_SOURCE_DIR}/tests)
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS})
    currantpitch_use_precompiled(${name})
    if(arg_INSTALL)
        install(TARGETS ${name} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
    endif()
endfunction()
