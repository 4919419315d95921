//! Which clients' connections are closed when descriptors or memory are scarce.

use crate::client::{Client, ClosePriority};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A client that has read nothing of its answer for this long may lose it when memory is scarce.
const UNREAD_GRACE: Duration = Duration::from_millis(100);

/// The client to close to free a descriptor; `None` if none may be closed now. Connections without a request
/// go before those of returning clients, and the longest idle first. If connections without a request hold
/// most places, only these are closed: a new one may be about to send its request, and waiting for that is
/// better than closing a returning client.
pub(crate) fn idle_client<'c>(
    clients: impl ExactSizeIterator<Item = &'c Rc<Client>>,
) -> Option<&'c Client> {
    let count = clients.len();
    let mut order: Vec<_> =
        clients.filter_map(|c| Some((c.close_priority()?, c.idle_since.get(), c))).collect();
    let without_request =
        order.iter().filter(|(close_priority, ..)| *close_priority == ClosePriority::NoRequestYet).count();
    if 2 * without_request > count {
        order.retain(|(close_priority, ..)| *close_priority <= ClosePriority::NoRequestYet);
    }
    order.sort_unstable_by_key(|(close_priority, since, _)| (*close_priority, *since));
    order.into_iter().map(|(.., client)| client.as_ref()).find(|client| client.can_close())
}

/// The clients that have read nothing for longest, whose unread answers hold `excess_bytes` together.
pub(crate) fn clients_that_do_not_read<'c>(
    clients: impl Iterator<Item = &'c Rc<Client>>,
    excess_bytes: usize,
) -> Vec<&'c Client> {
    let mut unread: Vec<(Instant, &Client)> =
        clients.filter_map(|client| Some((client.unread_since()?, client.as_ref()))).collect();
    unread.retain(|(since, _)| since.elapsed() > UNREAD_GRACE);
    unread.sort_unstable_by_key(|(since, _)| *since);
    let mut freed_bytes = 0;
    let needed = unread.into_iter().take_while(|(_, client)| {
        let is_needed = freed_bytes < excess_bytes;
        freed_bytes += client.answer_bytes.get();
        is_needed
    });
    needed.map(|(_, client)| client).collect()
}
