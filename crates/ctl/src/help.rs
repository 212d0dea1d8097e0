//! The text of `--help`.

/// What `--help` prints.
pub const HELP: &str = "\
oleanderctl: controls an oleanderwell deployment through its control replicas

usage: oleanderctl --servers A,B,C [OPTIONS] COMMAND

commands:
  apply -f PATH... [--prune] [--dry-run]  apply the declarations of the files, all or nothing
  diff -f PATH...                         show how the declarations differ from the files
  get [KIND [NAME]]                       show resources and how far they are in force
  watch [--until-in-force]                print changes, or wait until everything is in force
  drain TYPE NAME                         empty an upstream, entry, failure_domain or region
  undrain TYPE NAME                       end a drain
  plan                                    show the plan that gateways follow
  plan -f FILE [--based-on VERSION]       declare the plan in FILE
  evacuate DOMAIN                         stop gateways from sending to a failure domain
  end-evacuation DOMAIN                   end an evacuation
  replicas                                show each control replica's view of the replicas
  admit NAME                              admit a replica that lost its disk; wait until it votes
  dump ADDRESS                            print the state of the process at ADDRESS
  explain REQUEST [--log FILE...]         show what happened to a request, from JSON logs

options:
  --servers A,B,C     HTTP addresses of the control replicas
  --token-file FILE   file with the operators' token on its first line
  --json              print JSON instead of tables
  --timeout SECONDS   give up after this time; by default 15, or 60 for watch --until-in-force
  --request-id ID     id of the change; a resend with the same id gets the first answer again
  -f, --file PATH     a TOML file or a folder of *.toml files; may be repeated
  --based-on VERSION  the plan version to replace; by default the one in force
  --log FILE...       JSON logs of processes; by default, and for -, the standard input
  --prune             withdraw resources that the files don't declare
  --dry-run           show what would change, and change nothing
  -h, --help          print this text
  -V, --version       print the version

exit codes:
  0  done
  1  failed
  2  wrong usage or invalid declarations
  3  conflict: the version that the change is based on is not the current one
  4  not in force in time
  5  no control replica reachable
  6  diff found differences
";
