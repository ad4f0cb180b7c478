# A client's connection over a slow link with the segments of Ethernet: sends what stands on its
# standard input and writes what it receives to its standard output, at a steady rate. It can be choked
# at first: nothing is read then, and the packets wait.
# It exits with 0 if the other side has ended the connection in order, and with 1 if it was reset.
use strict;
use warnings;
use Socket qw(:all);

my ($host, $port, $bytes_per_s, $choked_s) = @ARGV;
my $PART = 25_000;
my $TCP_MAXSEG = 2;
my $ETHERNET_SEGMENT = 1448;

socket(my $link, PF_INET, SOCK_STREAM, IPPROTO_TCP) or exit 2;
setsockopt($link, IPPROTO_TCP, $TCP_MAXSEG, pack('i', $ETHERNET_SEGMENT)) or exit 2;
setsockopt($link, SOL_SOCKET, SO_RCVBUF, pack('i', 32_768)) or exit 2;
connect($link, sockaddr_in($port, inet_aton($host))) or exit 2;
binmode(STDIN);
binmode(STDOUT);
my $request = do { local $/; <STDIN> };
syswrite($link, $request) or exit 2;
select(undef, undef, undef, $choked_s);
while (1) {
    my $count = sysread($link, my $part, $PART);
    exit 1 if !defined $count;
    exit 0 if $count == 0;
    syswrite(STDOUT, $part);
    select(undef, undef, undef, $count / $bytes_per_s);
}
