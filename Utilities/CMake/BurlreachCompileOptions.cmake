# Compiler flags for the project's own targets; generated code is built without them.
add_library(burlreach_compile_options INTERFACE)
target_compile_options(burlreach_compile_options INTERFACE
    -Wall -Wextra -Wno-missing-field-initializers -Wpedantic -Wshadow=local -Wnon-virtual-dtor -Woverloaded-virtual
    $<$<BOOL:${BURLREACH_WERROR}>:-Werror>)

if(BURLREACH_SANITIZERS)
    add_compile_options(-fsanitize=${BURLREACH_SANITIZERS} -fno-omit-frame-pointer -fno-sanitize-recover=all)
    add_link_options(-fsanitize=${BURLREACH_SANITIZERS})
endif()

# burlreach_add_package(NAME LIBRARY...): builds one folder under Source/ as a
# static library of all its .cpp files.
function(burlreach_add_package name)
    file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp")
    if(sources)
        add_library(burlreach_${name} STATIC ${sources})
        target_link_libraries(burlreach_${name} PUBLIC ${ARGN} PRIVATE burlreach_compile_options)
    else()
        add_library(burlreach_${name} INTERFACE)
        target_link_libraries(burlreach_${name} INTERFACE ${ARGN})
    endif()
endfunction()
