//! The program: all that it does is in the library beside it.

fn main() -> std::process::ExitCode {
    applemill::main()
}
