use super::*;

#[test]
fn command_definitions_are_valid_and_every_command_and_option_has_a_help_text() {
    fn check(command: &clap::Command) {
        assert!(command.get_about().is_some(), "{} is not explained", command.get_name());
        for arg in command.get_arguments().filter(|a| !["help", "version"].contains(&a.get_id().as_str())) {
            assert!(arg.get_help().is_some(), "{} of {} is not explained", arg.get_id(), command.get_name());
        }
        command.get_subcommands().filter(|c| c.get_name() != "help").for_each(check);
    }
    Cli::command().debug_assert();
    check(&Cli::command());
}

#[test]
fn without_a_command_the_proxy_serves() {
    assert!(Cli::try_parse_from(["aniseyoke"]).expect("bare").command.is_none());
    let cli = Cli::try_parse_from(["aniseyoke", "serve", "--file", "f"]).expect("serve");
    assert!(matches!(cli.command, Some(Command::Serve(Serve { file: Some(_) }))));
    assert!(Cli::try_parse_from(["aniseyoke", "--fiel", "f"]).is_err());
}
