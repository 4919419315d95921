//! Entry point of the program `applemill`; the library of this package implements it.

fn main() -> std::process::ExitCode {
    applemill::main()
}
